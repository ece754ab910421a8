#include "place/decision.h"

#include <spdlog/spdlog.h>

#include <cstdlib>

#include "place/cluster_view.h"

namespace aspenwick::place {
namespace {
std::array<std::uint64_t, kInvariants> violation_counts{};
bool abort_process = false;
}  // namespace

std::string_view to_string(FreeReason reason) {
  switch (reason) {
    case FreeReason::never_sent:
      return "never sent";
    case FreeReason::job_over:
      return "job over";
    case FreeReason::done:
      return "done";
    case FreeReason::exited:
      return "exited";
    case FreeReason::not_listed:
      return "not listed";
    case FreeReason::fenced:
      return "fenced";
    case FreeReason::push_refused:
      return "push refused";
    case FreeReason::replaced:
      return "replaced";
    case FreeReason::runs_elsewhere:
      return "runs elsewhere";
    case FreeReason::lease_expired:
      return "lease expired";
    case FreeReason::new_session:
      return "new session";
    case FreeReason::left_share:
      return "left the share";
    case FreeReason::refused:
      return "start refused";
  }
  return "unknown";
}

bool needs_restart(FreeReason reason) { return reason != FreeReason::job_over && reason != FreeReason::done; }

std::string_view to_string(StartRefusal reason) {
  switch (reason) {
    case StartRefusal::none:
      return "none";
    case StartRefusal::lease_not_valid:
      return "lease not valid";
    case StartRefusal::records_stale:
      return "records stale";
    case StartRefusal::share_handed_over:
      return "share handed over";
    case StartRefusal::pushes_lost:
      return "pushes lost";
    case StartRefusal::machine_not_accounted:
      return "machine not accounted for";
    case StartRefusal::job_over:
      return "job over";
    case StartRefusal::task_done:
      return "task done";
    case StartRefusal::other_attempt:
      return "another attempt may live";
  }
  return "unknown";
}

std::string_view to_string(ReleaseRefusal reason) {
  switch (reason) {
    case ReleaseRefusal::none:
      return "none";
    case ReleaseRefusal::share_not_loaded:
      return "share not loaded";
    case ReleaseRefusal::not_accounted:
      return "machine not accounted for";
    case ReleaseRefusal::holds_attempts:
      return "holds attempts";
    case ReleaseRefusal::push_under_way:
      return "push under way";
    case ReleaseRefusal::leaving:
      return "leaving";
    case ReleaseRefusal::results_not_recorded:
      return "results not recorded";
  }
  return "unknown";
}

bool breaks_invariant(StartRefusal reason) {
  return reason == StartRefusal::job_over || reason == StartRefusal::task_done ||
         reason == StartRefusal::other_attempt;
}

StartRefusal start_refusal(const ClusterView& view, const Machine& machine, const TaskAttempt& attempt,
                           StartRefusal owner_refusal) {
  if (owner_refusal != StartRefusal::none) return owner_refusal;
  if (!machine.accounted_for) return StartRefusal::machine_not_accounted;
  const Job* job = attempt.job;
  if (!job || job->cancelled || job->finished) return StartRefusal::job_over;
  if (job->done.test(attempt.index)) return StartRefusal::task_done;
  const auto active = job->active.find(attempt.index);
  const bool is_active_attempt = active != job->active.end() && active->second == &machine;
  if (!is_active_attempt || view.stray_attempts.contains({attempt.job_id, attempt.index}))
    return StartRefusal::other_attempt;
  return StartRefusal::none;
}

std::string_view to_string(Invariant which) {
  switch (which) {
    case Invariant::one_attempt_of_a_task:
      return "one attempt of a task";
    case Invariant::done_is_final:
      return "done is final";
    case Invariant::epochs_rise:
      return "epochs rise";
  }
  return "unknown";
}

void report_violation(Invariant which, const std::string& evidence) {
  ++violation_counts.at(static_cast<std::size_t>(which));
  spdlog::error("invariant violated: {}: {}", to_string(which), evidence);
  if (abort_process) std::abort();
}

const std::array<std::uint64_t, kInvariants>& violations() { return violation_counts; }

void abort_on_violation(bool on) { abort_process = on; }

}  // namespace aspenwick::place
