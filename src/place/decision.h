// Decisions on attempts, each with its reason: whether an attempt may be started now, and why one counts as
// gone from its machine. Also the invariants that are checked where such a decision is carried out.
// Socket-free.
#pragma once
#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace aspenwick::place {

struct Machine;
struct ClusterView;
struct TaskAttempt;

/// Why an attempt counts as gone from its machine.
enum class FreeReason : std::uint8_t {
  never_sent,      // it was assigned, and no order to start it had left
  job_over,        // the same, and its job is done or cancelled
  done,            // it exited and its task is done
  exited,          // it exited for any other reason
  not_listed,      // a newer report of its machine doesn't list it
  fenced,          // its start was pushed without an answer, and the worker has seen a higher token since
  push_refused,    // the worker refused the push that would have started it
  replaced,        // its machine reports another attempt of the task
  runs_elsewhere,  // it was assigned, and another machine reports the task
  lease_expired,   // the worker's lease has surely expired
  new_session,     // its machine reports a later session
  left_share,      // the machine's record is gone, or names another share
  refused,         // its start would have broken an invariant
};
inline constexpr std::size_t kFreeReasons = static_cast<std::size_t>(FreeReason::refused) + 1;
/// For log lines and metrics.
std::string_view to_string(FreeReason reason);
/// The task is to be started again.
bool needs_restart(FreeReason reason);

/// Why an assigned attempt may not be started now.
enum class StartRefusal : std::uint8_t {
  none,
  // These end by themselves.
  lease_not_valid,        // we may not own the share any more
  records_stale,          // the job may have been cancelled since its records were read
  share_handed_over,      // the share is on its way to another owner
  pushes_lost,            // pushed orders don't reach the machine: starts go with answers to its reports
  machine_not_accounted,  // what runs on the machine is not known yet
  // From here on: an invariant would be broken.
  job_over,
  task_done,
  other_attempt,  // another attempt of the task is on a machine, or may be
};
inline constexpr std::size_t kStartRefusals = static_cast<std::size_t>(StartRefusal::other_attempt) + 1;
std::string_view to_string(StartRefusal reason);
/// The attempt, its job or its machine stands against it for good: an invariant would be broken.
bool breaks_invariant(StartRefusal reason);
/// Judged just before an order leaves. `owner_refusal`: what keeps the share's owner from starting anything
/// now.
StartRefusal start_refusal(const ClusterView& view, const Machine& machine, const TaskAttempt& attempt,
                           StartRefusal owner_refusal);

/// Why a machine may not leave its share, to be moved or given back.
enum class ReleaseRefusal : std::uint8_t {
  none,
  share_not_loaded,      // what the share's former owners recorded is not read yet
  not_accounted,         // what runs on the machine is not known yet
  holds_attempts,        // attempts are, or may be, on it
  push_under_way,        // orders pushed to it may be carried out yet
  leaving,               // it is on its way already
  results_not_recorded,  // it may hold the only durable copy of a task's result
};
inline constexpr std::size_t kReleaseRefusals =
    static_cast<std::size_t>(ReleaseRefusal::results_not_recorded) + 1;
std::string_view to_string(ReleaseRefusal reason);

/// What must hold whatever happens.
enum class Invariant : std::uint8_t {
  one_attempt_of_a_task,  // no attempt is started while another of the task may live
  done_is_final,          // nothing is started of a task or job that is over
  epochs_rise,            // the epoch of a share that we own never falls
};
inline constexpr std::size_t kInvariants = static_cast<std::size_t>(Invariant::epochs_rise) + 1;
std::string_view to_string(Invariant which);
/// Logs the evidence as an error and counts it. The caller refuses the action. In tests the process aborts.
void report_violation(Invariant which, const std::string& evidence);
/// Since the process began, by invariant.
const std::array<std::uint64_t, kInvariants>& violations();
/// For tests: what calls `violated` ends the process.
void abort_on_violation(bool on);

}  // namespace aspenwick::place
