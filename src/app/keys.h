// The keys that nodes share in the state service.
#pragma once
#include <string>

namespace aspenwick::app {

// Keys: all under kShared are followed by every node; progress is read by a share's next owner only.
inline const std::string kShared = "s/";
inline const std::string kJob = "s/job/";
inline const std::string kMachine = "s/machine/";
inline const std::string kOwner = "s/holder/";
inline const std::string kLeader = "s/leader";
inline const std::string kToken =
    "s/token/";  // + share, or "leader": a counter each, or all would race for one
inline const std::string kTypes = "s/types";  // + "/n" where one value doesn't hold them all
inline const std::string kNode = "s/node/";   // what a node reads, on its lease; the first version wrote none
inline const std::string kPart = "s/part/";   // + job/tag/n: the text of a spec that one value doesn't hold
inline const std::string kProgress = "p/";

}  // namespace aspenwick::app
