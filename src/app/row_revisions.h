// The newest revision seen of each of a few keys, from whatever source: a watch, a list, or the answer to a
// commit.
#pragma once
#include <cstdint>
#include <map>
#include <string>

namespace aspenwick::app {

/// Rejects rows that are older than what was seen of their key.
class RowRevisions {
 public:
  /// Notes that a row or removal of this revision was seen. Returns false if a later one was seen before.
  bool advance(const std::string& key, std::uint64_t revision) {
    std::uint64_t& newest = newest_[key];
    if (revision < newest) return false;
    newest = revision;
    return true;
  }

 private:
  std::map<std::string, std::uint64_t> newest_;
};

}  // namespace aspenwick::app
