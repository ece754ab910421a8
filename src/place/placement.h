// Placement of the waiting tasks of one share: the order of the jobs, the choice of machines by the learner,
// gang placement and preemption. Changes only the ClusterView; the share's owner sends the resulting orders.
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

/// Placement for one share. The settings, machine types and view must outlive it.
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

  /// Places waiting tasks in the order of their jobs. Returns false if it stopped after about `max_tasks`
  /// (over 0) tasks with more to do.
  bool place_waiting_tasks(Micros now, std::uint64_t max_tasks);
  /// Attempt numbers used in this epoch, at most kAttemptsPerEpoch.
  std::uint64_t attempts_in_epoch() const { return attempts_; }
  /// Continues under a higher epoch, with attempt numbers from its start.
  void raise_epoch(std::uint64_t epoch) { epoch_ = epoch, attempts_ = 0; }
  /// Jobs with waiting tasks, in the order in which they are to be placed.
  std::vector<Job*> ordered_jobs(Micros now) const;
  /// How long the job can be delayed without missing its deadline or start objective; negative if it is late.
  Micros slack(const Job& j, Micros now) const;
  /// The rank that the job is placed with. A job whose dependents rank higher gets their rank once its time
  /// is short, and keeps its own until then, so that pipeline stages with time to spare neither preempt other
  /// work nor delay jobs with less time.
  wire::Rank effective_rank(const Job& j, Micros now) const;
  /// Expected run time of a task of the job in seconds: the mean of its finished tasks once there are three,
  /// before that the submitted estimate.
  static double expected_run_seconds(const Job& j);
  /// Whether a production job should still wait for a machine without GPUs to be drained for it.
  bool waits_for_non_gpu_machine(const Job& j, Micros now) const;
  /// Notes the machine types that a GPU job, of any share, can use.
  void note_gpu_job(const JobSpec& spec);
  bool usable_by_gpu_jobs(std::size_t type) const { return usable_by_gpu_jobs_[type]; }
  const Quota& quota() const { return quota_; }
  Rnn& rnn() { return rnn_; }
  const Rnn& rnn() const { return rnn_; }

 private:
  /// Properties of machines that are not accounted for yet, from which follows whose tasks may be on them.
  struct UnaccountedMachine {
    const wire::MachineType* type = nullptr;  // null: unknown, may hold any task
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
  /// Machines on which a task of one job could start: those of the lowest cost tier that has any, and among
  /// these the ones with the best image availability. Spot machines come first, then the fullest. Reused for
  /// the job's further tasks, since each placed task changes only one machine.
  struct CandidateSet {
    std::vector<Machine*> machines;
    std::vector<Rnn::Neuron> neurons;
    int tier = 0;
    int zone = -1;             // the only zone considered; -1: all
    int min_availability = 0;  // see image_availability()
    void insert(Machine* m);
    void keep_if(const std::function<bool(const Machine&)>& wanted);
  };
  bool zone_allowed(const Job& j, const Machine& m) const;
  void find_candidates(const Job& j, CandidateSet& candidates, Micros now) const;
  bool place_task(Job& j, std::uint32_t index, std::uint64_t attempt, bool cheap_only, Micros now,
                  CandidateSet& candidates);
  std::int64_t task_slots(const Job& j, const Machine& m, Resources capacity) const;
  std::vector<int> gang_zones(const Job& j, Micros now,
                              const std::function<Resources(const Machine&)>& capacity_of) const;
  bool place_gang(Job& j, Micros now, int min_availability);
  bool preempt_for_gang(Job& j, Micros now, int min_availability);
  bool place_gang_or_preempt(Job& j, Micros now, int min_availability);
  bool worth_moving_to_spot(const Job& j, Micros now) const;
  void move_to_spot(Micros now);
  /// Outcome of a search for tasks to preempt; `pending`: tasks already being halted will free enough.
  enum class Preemption : std::uint8_t { none, pending, started };
  Preemption preempt_for(Job& j, Micros now, int min_availability);

  const wire::PlatformSettings& platform_;
  const std::vector<wire::MachineType>& types_;
  ClusterView& view_;
  Quota quota_;
  Rnn rnn_;
  std::uint64_t epoch_;
  std::uint64_t attempts_ = 0;
  std::vector<bool> usable_by_gpu_jobs_;      // by machine type
  std::set<UnaccountedMachine> unaccounted_;  // as of the current pass
};

}  // namespace aspenwick::place
