// Which task goes where, and which make way: the order of jobs, the choice of machines by the learner, gangs,
// preemption. Works on the view of one share; what it decides is sent by the owner.
#pragma once
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "place/cluster_view.h"
#include "place/quota.h"
#include "place/rnn.h"

namespace aspenwick::place {

class Placement {
 public:
  Placement(const wire::PlatformSettings& platform, const std::vector<wire::MachineType>& types,
            ClusterView& view, RnnSettings rnn, std::uint64_t epoch)
      : platform_(platform),
        types_(types),
        view_(view),
        quota_(platform, view),
        rnn_(rnn),
        epoch_(epoch),
        usable_by_gpu_jobs_(types.size()) {}

  /// Places what can be placed, in order; false: stopped after about `most` tasks (over 0) with more to do.
  bool place_waiting_tasks(Micros now, std::uint64_t max_tasks);
  /// Attempts numbered in this epoch; none beyond kAttemptsPerEpoch.
  std::uint64_t attempts_in_epoch() const { return attempts_; }
  void raise_epoch(std::uint64_t epoch) { epoch_ = epoch, attempts_ = 0; }
  /// Jobs with waiting tasks, the first to be placed first.
  std::vector<Job*> ordered_jobs(Micros now) const;
  Micros slack(const Job& j, Micros now) const;
  /// The priority that a job from which others wait is placed with: theirs once it is pressed for time, until
  /// then its own, so that stages with time to spare neither stop others' work nor hold up what has less.
  wire::Rank effective_rank(const Job& j, Micros now) const;
  static double expected_run_seconds(const Job& j);
  bool waits_for_non_gpu_machine(const Job& j, Micros now) const;
  /// Any share's job: which machine types its GPU tasks can use.
  void note_gpu_job(const JobSpec& spec);
  bool usable_by_gpu_jobs(std::size_t type) const { return usable_by_gpu_jobs_[type]; }
  const Quota& quota() const { return quota_; }
  Rnn& rnn() { return rnn_; }
  const Rnn& rnn() const { return rnn_; }

 private:
  /// Before the share is rebuilt: what the machines that are not accounted for may hold.
  struct UnaccountedMachine {
    const wire::MachineType* type = nullptr;  // null: not known, may hold anything
    std::size_t type_index = 0;
    int zone = 0;
    bool spot = false;
    auto operator<=>(const UnaccountedMachine&) const = default;
  };
  void collect_unaccounted();
  bool may_hold_tasks_of(const UnaccountedMachine& u, const Job& j) const;
  bool placement_allowed(const Job& j) const;
  bool machine_allowed(const Job& j, const Machine& m, Micros now) const;
  bool fits(const Job& j, const Machine& m, const Resources& free) const;
  int cost_tier(const Job& j, const Machine& m) const;
  int image_availability(const Job& j, const Machine& m) const;
  bool prefers_cached_image(const Job& j) const;
  void update_wait(Job& j, Micros now) const;
  static std::optional<std::uint32_t> next_task(Job& j);
  /// Machines on which a task of one job could start, of the cheapest and warmest tier that has any; spot
  /// ones first, then the fullest. Kept from task to task of the job, since a task changes one of them.
  struct CandidateSet {
    std::vector<Machine*> machines;
    std::vector<Rnn::Neuron> neurons;
    int tier = 0;
    int zone = -1;             // the only one looked at
    int min_availability = 0;  // see warmth()
    void insert(Machine* m);
    void keep_if(const std::function<bool(const Machine&)>& wanted);
  };
  bool zone_allowed(const Job& j, const Machine& m) const;
  void find_candidates(const Job& j, CandidateSet& candidates, Micros now) const;
  bool place_task(Job& j, std::uint32_t index, std::uint64_t attempt, bool cheap_only, Micros now,
                  CandidateSet& candidates);
  std::int64_t task_slots(const Job& j, const Machine& m, Resources room) const;
  std::vector<int> gang_zones(const Job& j, Micros now,
                              const std::function<Resources(const Machine&)>& room_of) const;
  bool place_gang(Job& j, Micros now, int min_availability);
  bool preempt_for_gang(Job& j, Micros now, int min_availability);
  bool place_gang_or_preempt(Job& j, Micros now, int min_availability);
  bool worth_moving_to_spot(const Job& j, Micros now) const;
  void move_to_spot(Micros now);
  enum class Preemption : std::uint8_t { none, pending, started };
  Preemption preempt_for(Job& j, Micros now, int min_availability);

  const wire::PlatformSettings& platform_;
  const std::vector<wire::MachineType>& types_;
  ClusterView& view_;
  Quota quota_;
  Rnn rnn_;
  std::uint64_t epoch_;
  std::uint64_t attempts_ = 0;
  std::vector<bool> usable_by_gpu_jobs_;      // types that GPU jobs can use
  std::set<UnaccountedMachine> unaccounted_;  // as of this pass
};

}  // namespace aspenwick::place
