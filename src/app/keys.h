// The keys that nodes share in the state service.
#pragma once
#include <string>

namespace aspenwick::app {

// Keys: all under kSharedPrefix are followed by every node; progress is read by a share's next owner only.
inline const std::string kSharedPrefix = "s/";
inline const std::string kJobPrefix = "s/job/";
inline const std::string kMachinePrefix = "s/machine/";
inline const std::string kOwnerPrefix = "s/holder/";
inline const std::string kLeaderKey = "s/leader";
inline const std::string kEpochCounterPrefix =
    "s/token/";  // + share, or "leader": a counter each, or all would race for one
inline const std::string kTypesKey = "s/types";  // + "/n" where one value doesn't hold them all
inline const std::string kNodePrefix =
    "s/node/";  // what a node reads, on its lease; the first version wrote none
inline const std::string kPartPrefix =
    "s/part/";  // + job/tag/n: the text of a spec that one value doesn't hold
inline const std::string kProgressPrefix = "p/";

}  // namespace aspenwick::app
