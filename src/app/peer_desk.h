// What nodes tell each other: the gossip of shares, requests for machines, the status of jobs, withdrawals
// ahead of the watch.
#pragma once
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "app/keeper.h"
#include "app/records.h"
#include "fleet/renter.h"
#include "net/loop.h"
#include "share/peers.h"
#include "store/client.h"

namespace aspenwick::app {

class PeerDesk {
 public:
  struct Needs {
    net::Loop& loop;
    share::Peers& peers;
    const store::Client& store;
    Records& records;
    Keeper& keeper;
    std::function<void(const std::string& machine, int to)> move_machine;
    std::function<void(const share::StatusTell&)> status_told;
    std::function<void()> poke;
  };
  PeerDesk(const wire::PlatformSettings& platform, Needs needs)
      : platform_(platform), needs_(std::move(needs)) {}

  /// Every half second.
  void gossip();
  void heard(const share::Frame& frame, const share::Peers::Reply& reply);
  /// All shares as fresh as is known: ours, and others' as told lately.
  std::vector<share::ShareSaid> all_shares() const;
  /// As the leader's plan wants it: by us, or by whoever holds the share.
  void give(const fleet::Move& move);

 private:
  struct Told {
    std::string node;
    Micros at = 0;
    share::ShareSaid said;
  };
  void heard(const share::Gossip& gossip);
  void heard(const share::ReleaseAsk& ask);
  void heard(const share::StatusAsk& ask, const share::Peers::Reply& reply);
  void heard(const share::WithdrawnTell& tell);

  const wire::PlatformSettings& platform_;
  Needs needs_;
  std::map<int, Told> said_;  // by share, the last word of whoever held it
};

}  // namespace aspenwick::app
