// The newest revision told of each of a few keys, whatever way it came: a watch, a list, the answer to a
// commit.
#pragma once
#include <cstdint>
#include <map>
#include <string>

namespace aspenwick::app {

class RowRevisions {
 public:
  /// A row or a removal of this revision was told of the key. false: a later one was told before.
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
