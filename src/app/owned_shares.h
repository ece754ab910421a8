// The shares that this node owns, and the leadership: maintains the node's lease in the state service,
// acquires owner keys and hands them back, and runs a ShareController for each share, fed from the records.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "app/operator_settings.h"
#include "app/records.h"
#include "app/row_revisions.h"
#include "net/loop.h"
#include "share/ownership.h"
#include "share/peer_frame.h"
#include "share/share_controller.h"
#include "store/client.h"

namespace aspenwick::app {

/// Holds the owner keys of this node and the controllers of its shares.
class OwnedShares {
 public:
  struct Dependencies {
    net::Loop& loop;
    store::Client& store;
    Records& records;
    /// Requests a tick: something may be placed or answered now that could not be before.
    std::function<void()> schedule_tick;
  };
  struct OwnedShare {
    std::unique_ptr<share::ShareController> controller;  // never null
    std::uint64_t generation = 0;   // number of this controller, unique among all that this process created
    std::uint64_t epoch = 0;        // of the share's current owner key
    std::uint64_t key_version = 0;  // version of that key; guards the owner's commits
    std::uint64_t acquired_version =
        0;  // of the key when the share was acquired: older records were there before
    std::uint64_t pending_epoch = 0;  // epoch that is being committed, perhaps executed already; 0: none
    Micros last_raise_attempt = 0;    // time of the last attempt to raise the epoch
    bool loading = false, handing_back = false;
    std::string renewal_refusal;  // why worker reports are not answered, as logged last; empty: they are
    place::StartRefusal last_refusal = place::StartRefusal::none;  // as evaluated last
    Micros refused_since = 0;
  };
  OwnedShares(const wire::PlatformSettings& platform, const OperatorSettings& settings,
              Dependencies dependencies);

  // ---- from the watch
  /// Applies a row of the watch. Returns false if the key does not belong to this class. A row that cannot be
  /// read is logged and skipped.
  bool apply(const wire::Row& row);
  /// Keys of this class that are not in `seen` and therefore have been removed: those known as of revision
  /// `as_of`; at the `first` full read all keys.
  std::vector<std::string> missing_keys(const std::set<std::string>& seen, std::uint64_t as_of,
                                        bool first) const;
  /// Revokes the lease of a former process of this node, known from a key that names this node but not our
  /// lease. That process has ended; revoking its lease frees its shares at once. Retried until the state
  /// service has answered.
  void revoke_former_lease(std::uint64_t lease);
  /// Reads this node's format row, which is on the lease of the former process, before everything else, and
  /// revokes that lease.
  void find_and_revoke_former_lease();
  /// Called before and after all rows of a full read are applied.
  void begin_key_reload() { ownership_.key_reread_started(); }
  void finish_key_reload() { ownership_.key_reread_finished(deps_.loop.now()); }
  /// The job records are known as of a later time than before.
  void on_records_refreshed();
  /// Creates, removes and updates the controllers of the shares according to the current keys and records.
  void sync_controllers();
  /// A job record, or the state of its dependencies, has changed: passes it to the controllers that need it.
  void job_updated(const std::string& id, const job::JobRecord& record);

  /// Called every 200 ms: renews the lease, and acquires or hands back shares.
  void tick();

  // ---- shares owned now
  std::map<int, OwnedShare>& all() { return owned_; }
  const std::map<int, OwnedShare>& all() const { return owned_; }
  /// Returns nullptr if the share is not owned, or with `generation` if it is not that controller any more.
  OwnedShare* find(int share);
  OwnedShare* find(int share, std::uint64_t generation);
  /// The share is certainly owned and is not being handed back. Sufficient for commits that are guarded by
  /// the owner key.
  bool may_commit(const OwnedShare& owned) const;
  /// Why this node may not start tasks of the share or give its machines away; none: it may. Must be called
  /// immediately before the action: no guard protects a task start from a decision that was made on outdated
  /// records.
  place::StartRefusal start_refusal(OwnedShare& owned);
  bool is_leader() const;
  /// Why the leader may not rent, return or move machines now; none: it may. Depends on the age of the watch,
  /// which the view of the machines comes from.
  place::StartRefusal leader_refusal() const;
  /// Reports on the owned shares, as sent to peers and to the leader.
  std::vector<share::ShareReport> share_reports() const;
  share::Ownership& ownership() { return ownership_; }
  const share::Ownership& ownership() const { return ownership_; }
  /// The highest epoch in any record known here. The epochs that a machine's former owners used are in its
  /// record before the owner key of its share is removed, and a share is acquired only by a node that has
  /// seen the key removed. So the epoch of a successor, chosen above this one, is above every token that its
  /// machines have seen.
  std::uint64_t highest_epoch() const;
  /// By share: the highest epoch with which the share is known to have been acquired.
  std::vector<std::uint64_t> acquired_epochs() const;

 private:
  void read_row(const wire::Row& row);
  void revoke_if_former(const share::OwnerKey& key);
  void request_lease();
  void renew_lease();
  void acquire_key(const std::string& key, const std::string& counter, std::function<void(int)> done);
  void acquire_share(int share);
  void acquire_leadership();
  void hand_back(int share);
  void remove_owner_key(int share, std::uint64_t generation, std::uint64_t version, bool maybe_executed);
  void raise_epoch(int share, OwnedShare& owned);
  void refresh_stale_records();
  void log_refusal_change(int share, OwnedShare& owned, place::StartRefusal refusal);
  void log_renewal_change(int share, OwnedShare& owned) const;
  std::string loss_reason(const share::OwnerKey* key) const;
  void create_controller(int share, const share::OwnerKey& key);
  void load_progress(int share, std::uint64_t generation);
  const Records& records() const { return deps_.records; }

  const wire::PlatformSettings& platform_;
  const OperatorSettings settings_;
  Dependencies deps_;
  share::Ownership ownership_;
  std::map<int, OwnedShare> owned_;
  std::map<int, std::uint64_t> last_epochs_;  // by share, the last epoch with which this node owned it
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>>
      epoch_counters_;  // counter key -> epoch, version of the row
  RowRevisions row_revisions_;
  std::set<int> acquiring_;
  std::set<std::uint64_t> revoking_;  // leases of former processes of this node
  bool acquiring_leadership_ = false, lease_requested_ = false;
  std::uint64_t last_generation_ = 0;
  Micros last_renewal_ = 0;
};

}  // namespace aspenwick::app
