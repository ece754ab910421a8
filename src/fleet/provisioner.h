// The leader's part: which machines to rent, to move between shares, and to give back. Socket-free.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "share/peer_frame.h"

namespace aspenwick::fleet {

using share::MachineRecord;
using share::ShareReport;

struct RenterSettings {
  Micros idle_after = 40 * kSecond;           // an empty machine goes back
  Micros idle_gpu_after = 20 * kSecond;       // one with GPUs, which costs many times as much
  Micros idle_spot_gpu_after = 45 * kSecond;  // a cheap one keeps its images warm
  Micros lapsed_after = 8 * kSecond;          // a machine whose worker is gone goes back
  Micros refused_for = 12 * kSecond;          // after "no capacity"
  Micros drain_every = 1 * kSecond;           // machines taken from lower-ranking work
  double dear_factor = 3;                     // an offer this much above the cheapest only for urgent work
  double straggler_factor = 2.5;              // of the nominal boot time
  Micros straggler_extra = 15 * kSecond;
  Micros move_idle = kSecond;  // an empty machine may be moved after this
  Micros level_above =
      60 * kSecond;  // a share with more work in hand gets machines that run empty elsewhere; 0: never
  Micros patience = 40 * kSecond;  // low-priority work should drain in about this time
  double slack_part = 0.85;        // of its slack, before dear machines are rented for low-priority work
};

struct Rent {
  std::size_t type = 0;
  std::string zone;
  bool spot = false;
  int count = 1;
  int share = -1;  // for whose tasks
  bool operator==(const Rent&) const = default;
};
struct Move {
  std::string machine;
  int from = 0, to = -1;
  bool drain = false;
  wire::Rank rank = wire::Rank::low;
};
struct Delete {
  std::vector<std::string> machines;
};
using Action = std::variant<Rent, Move, Delete>;

/// Names of rental requests, never used twice: the cloud answers a name that it knows with the old machines.
/// They go on after a pause in which we could not lead, as long as the epoch is the same.
class RequestNames {
 public:
  std::string next(std::uint64_t epoch) {
    if (epoch != epoch_) epoch_ = epoch, count_ = 0;
    return "e" + std::to_string(epoch_) + "-" + std::to_string(++count_);
  }

 private:
  std::uint64_t epoch_ = 0, count_ = 0;
};

class Provisioner {
 public:
  Provisioner(const wire::PlatformSettings& platform, const std::vector<wire::MachineType>& types,
              RenterSettings settings)
      : platform_(platform), types_(types), settings_(settings) {}

  void listed(const std::vector<wire::CloudMachine>& machines,
              const std::map<std::string, MachineRecord>& records, Micros now);
  void rented(const Rent& rent, int status, const std::vector<std::string>& ids, Micros now);
  void deleted(const std::vector<std::string>& ids, bool ok, Micros now);
  void prices(const std::vector<wire::MachineType>& current);

  std::vector<Action> tick(Micros now, const std::vector<ShareReport>& shares,
                           const std::map<std::string, MachineRecord>& records);
  /// The share that a machine which reports without a record should join.
  int share_for(const std::string& machine, const std::string& type, int shares);
  void adopted(const std::string& machine) { booting_.erase(machine); }
  bool has_booting() const { return !booting_.empty(); }

 private:
  struct Booting {
    std::size_t type = 0;
    std::string zone;
    bool spot = false;
    Micros rented = 0;
    bool was_listed = false;
    Micros last_listed = 0;
    int claimed_by = -1;
  };
  /// Free room of one machine, up or coming.
  struct Room {
    std::string id;  // empty: asked for, not yet answered
    int share = -1;
    std::size_t type = 0;
    std::string zone;
    bool spot = false, empty = false, touched = false, gpu_touched = false, booting = false;
    wire::Resources free;
    wire::Resources unused;   // beside all that runs there
    bool left_alone = false;  // so much was unused for some seconds
    int home = -1;            // the share that has it, also while it is drained for another
    std::uint32_t idle_ms = 0;
    wire::Rank top_rank = wire::Rank::low;
  };
  /// What a machine had unused at least, and since when.
  struct Left {
    wire::Resources room;
    Micros since = 0, seen = 0;
  };
  struct Want {
    int share = 0;
    share::Demand demand;
    std::uint32_t left = 0, fitted = 0;
    bool beside_room = false;  // passed over while other shares have room
    std::map<std::string, std::uint32_t> zones;
  };
  /// What one tick works on.
  struct Plan {
    Micros now = 0;
    std::vector<Room> rooms;
    std::vector<Want> wants;
    std::set<int> wanting;  // shares whose own room does not do
    /// A share's work that can wait, up to the demand at hand in the order of its slack.
    struct Backlog {
      double work = 0;   // in task seconds
      double slots = 0;  // that work on it, or will
    };
    std::map<int, Backlog> backlogs;
    std::map<int, double> low_running;  // tasks of work that can wait, of each share
    std::vector<Action> actions;
    int rents = 0;
  };
  struct Offer {
    std::size_t type = 0;
    std::string zone;
    bool spot = false;
    double cost = 0;  // per task
    std::uint32_t fits = 0;
  };

  void condemn_lost(Plan& plan, const std::map<std::string, MachineRecord>& records);
  void gather(Plan& plan, const std::vector<ShareReport>& shares,
              const std::map<std::string, MachineRecord>& records);
  void serve(Plan& plan, Want& w);
  void serve_gang(Plan& plan, Want& w);
  void take_booting(Plan& plan, Want& w);
  void take_empty(Plan& plan, Want& w);
  void take_from_lower(Plan& plan, Want& w);
  bool roomy(const Room& r, const Want& w) const;
  void drain_roomy(Plan& plan, Room& r, const Want& w);
  void take_roomy(Plan& plan, Want& w);
  void keep_draining(Plan& plan, const Want& w);
  bool only_beside_gpu_work(const Want& w) const;
  void rent_for(Plan& plan, Want& w);
  void rent(Plan& plan, const Offer& offer, int count, Want& w);
  void level(Plan& plan);
  void give_back(Plan& plan);
  bool movable(const Room& r, const Want& w) const;
  bool drainable_for_gpu(const Room& r, const Want& w) const;
  std::vector<Offer> offers(const Want& w, Micros now, const std::string& only_zone) const;
  static bool can_wait(const share::Demand& d);
  std::uint32_t wanted(const Plan& plan, const Want& w, bool dear) const;
  std::uint32_t fill(Want& w, Room& r) const;
  bool usable(const Want& w, const Room& r) const;
  bool suits(const Want& w, std::size_t type, const std::string& zone, bool spot) const;
  std::uint32_t rooms_in(const share::Demand& d, const wire::Resources& room) const;
  std::size_t type_index(const std::string& name) const;

  const wire::PlatformSettings& platform_;
  const std::vector<wire::MachineType>& types_;
  RenterSettings settings_;
  std::map<std::string, Booting> booting_;
  std::vector<Rent> asked_;  // not yet answered: their machines count as coming
  std::map<std::string, Micros> refused_until_;
  std::map<std::string, Micros> deleting_;
  std::map<std::string, double> spot_price_;
  std::map<std::string, Micros> failed_;
  std::map<std::string, std::pair<int, Micros>> draining_;  // machine -> share that gets it, until
  std::map<std::string, Left> left_;                        // by machine
  std::vector<bool> gpu_wanted_;
  Micros next_drain_ = 0, next_gentle_ = 0, next_level_ = 0;
  int turn_ = 0;
};

}  // namespace aspenwick::fleet
