// The keys in the state service. Names ending in Prefix are followed by an id.
#pragma once
#include <string>

namespace aspenwick::app {

// Every node watches all keys under kSharedPrefix. Progress rows are read only by the next owner of a share.
inline const std::string kSharedPrefix = "s/";
inline const std::string kJobPrefix = "s/job/";
inline const std::string kMachinePrefix = "s/machine/";
inline const std::string kOwnerPrefix = "s/holder/";
inline const std::string kLeaderKey = "s/leader";
inline const std::string kEpochCounterPrefix =
    "s/token/";  // + share, or "leader"; one counter each, so that they do not conflict on a single row
inline const std::string kTypesKey = "s/types";  // + "/n" if one value cannot hold them all
inline const std::string kNodePrefix =
    "s/node/";  // formats that a node reads, on its lease; not written by the first version
inline const std::string kPartPrefix = "s/part/";  // + job/tag/n: part of a spec that one value cannot hold
inline const std::string kProgressPrefix = "p/";   // + share/job/row

}  // namespace aspenwick::app
