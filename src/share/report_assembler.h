// Puts together the reports of shares with more machines than fit into one frame; see encode_gossip().
#pragma once
#include <map>
#include <string>

#include "share/peer_frame.h"

namespace aspenwick::share {

/// Keeps the machines of partial reports until the last part comes.
class ReportAssembler {
 public:
  /// Takes in a part that others follow.
  void add_part(const std::string& node, const ShareReport& part);
  /// Takes in the last part, or a report in one part, and returns the whole report. If parts were lost, their
  /// machines are missing from it.
  ShareReport complete(const std::string& node, ShareReport last_part);

 private:
  struct Parts {
    std::string node;
    std::map<std::string, MachineState> machines;  // by id: parts of a report that broke off are replaced
  };
  std::map<int, Parts> parts_;  // by share
};

}  // namespace aspenwick::share
