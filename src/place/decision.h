// Reasons for decisions about task attempts: why one may not be started, why one counts as gone from its
// machine, and why a machine may not leave its share. Also the invariants checked where such a decision is
// carried out. Does no I/O apart from logging.
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
  never_sent,      // it was assigned, and no order to start it was sent
  job_over,        // as never_sent, and its job is done or cancelled
  done,            // it exited and its task is done
  exited,          // it exited for any other reason
  not_listed,      // a newer report of its machine does not list it
  fenced,          // its start was pushed without an answer, and the worker has since seen a higher token
  push_refused,    // the worker refused the push that would have started it
  replaced,        // its machine reports another attempt of the task
  runs_elsewhere,  // it was assigned, and another machine reports the task
  lease_expired,   // the worker's lease has expired, even allowing for clock drift
  new_session,     // its machine reports a later session
  left_share,      // the machine's record is gone, or names another share
  refused,         // its start would have broken an invariant
};
inline constexpr std::size_t kFreeReasons = static_cast<std::size_t>(FreeReason::refused) + 1;
/// The metric label, also used in log lines.
std::string_view to_string(FreeReason reason);
/// Whether the task has to be started again.
bool needs_restart(FreeReason reason);

/// Why an assigned attempt may not be started now.
enum class StartRefusal : std::uint8_t {
  none,
  // Temporary.
  lease_not_valid,        // we may no longer own the share
  records_stale,          // the job may have been cancelled since its records were read
  share_handed_over,      // the share is being handed over to another owner
  pushes_lost,            // pushed orders do not reach the machine: starts are sent in answers to its reports
  machine_not_accounted,  // what runs on the machine is not known yet
  // Permanent: the start would break an invariant.
  job_over,
  task_done,
  other_attempt,  // another attempt of the task is on a machine, or may be
};
inline constexpr std::size_t kStartRefusals = static_cast<std::size_t>(StartRefusal::other_attempt) + 1;
std::string_view to_string(StartRefusal reason);
/// Whether the refusal is permanent because the start would break an invariant.
bool breaks_invariant(StartRefusal reason);
/// Checks an assigned attempt just before its start order is sent. `owner_refusal`: why the share's owner may
/// start nothing at present, or none.
StartRefusal start_refusal(const ClusterView& view, const Machine& machine, const TaskAttempt& attempt,
                           StartRefusal owner_refusal);

/// Why a machine may not leave its share, to be moved or returned to the cloud.
enum class ReleaseRefusal : std::uint8_t {
  none,
  share_not_loaded,      // what the share's former owners recorded is not read yet
  not_accounted,         // what runs on the machine is not known yet
  holds_attempts,        // attempts are, or may be, on it
  push_under_way,        // orders pushed to it may still be carried out
  leaving,               // it has been released already
  results_not_recorded,  // it may hold the only durable copy of a task's result
};
inline constexpr std::size_t kReleaseRefusals =
    static_cast<std::size_t>(ReleaseRefusal::results_not_recorded) + 1;
std::string_view to_string(ReleaseRefusal reason);

/// Properties that must hold under any faults.
enum class Invariant : std::uint8_t {
  one_attempt_of_a_task,  // no attempt is started while another of the same task may be alive
  done_is_final,          // no task is started that is done, or whose job is over
  epochs_rise,            // the epoch of an owned share never decreases
};
inline constexpr std::size_t kInvariants = static_cast<std::size_t>(Invariant::epochs_rise) + 1;
std::string_view to_string(Invariant which);
/// Logs the evidence as an error and counts the violation; the caller must refuse the action. Aborts the
/// process if abort_on_violation is set.
void report_violation(Invariant which, const std::string& evidence);
/// Violations since the process started, by invariant.
const std::array<std::uint64_t, kInvariants>& violations();
/// For tests: makes report_violation abort the process.
void abort_on_violation(bool on);

}  // namespace aspenwick::place
