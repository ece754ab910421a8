// ShareController: job and machine records, the periodic pass, and machines that leave the share.
#include "share/share_controller.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace aspenwick::share {

using wire::Rank;
using wire::Shape;

namespace {
constexpr double kClockDrift = 0.001;  // between two clocks that are each off by up to 0.05%
constexpr Micros kLeaseMargin = 300 * kMillisecond;
constexpr Micros kFullPassInterval = 200 * kMillisecond;
constexpr std::uint64_t kMaxPlacedPerPass =
    1000;  // takes a few milliseconds, in which lease renewals and reports wait
constexpr Micros kDefaultStartWithin = 60 * kSecond;
constexpr Micros kDrainTimeout = 20 * kSecond;
constexpr Micros kUnaccountedLogDelay = 1500 * kMillisecond;  // after a takeover, before it is logged
}  // namespace

std::uint64_t epoch_of_token(std::uint64_t token) { return token >> place::kEpochShift; }

wire::Json machine_to_json(const MachineRecord& m) {
  return {{"share", m.share}, {"epoch", m.epoch}, {"addr", m.address},
          {"type", m.type},   {"zone", m.zone},   {"spot", m.spot}};
}

MachineRecord machine_from_json(const std::string& id, const wire::Json& j, std::uint64_t version) {
  MachineRecord m;
  m.id = id;
  m.address = j.at("addr").get<std::string>();
  m.type = j.at("type").get<std::string>();
  m.zone = j.at("zone").get<std::string>();
  m.spot = j.at("spot").get<bool>();
  m.share = j.at("share").get<int>();
  m.epoch = j.at("epoch").get<std::uint64_t>();
  m.version = version;
  return m;
}

ShareController::ShareController(const wire::PlatformSettings& platform,
                                 const std::vector<wire::MachineType>& types,
                                 ShareControllerSettings settings, JobLookup lookup, std::uint64_t epoch,
                                 Micros now, Micros renewable_until)
    : platform_(platform),
      types_(types),
      settings_(settings),
      epoch_(epoch),
      renewable_until_(renewable_until),
      lookup_job_(std::move(lookup)),
      taken_over_at_(now),
      placement_(platform, types, view_, settings.rnn, epoch) {
  for (const auto& z : platform.zones) zone_ids_.push_back(view_.zone_index(z));
}

/// Returns the time by which a worker's lease has certainly expired if it was last renewed by an answer sent
/// at `answered`.
Micros ShareController::latest_lease_end(Micros answered) const {
  return answered + static_cast<Micros>(static_cast<double>(platform_.worker_lease) * (1 + kClockDrift)) +
         kLeaseMargin;
}

/// Returns the lowest token that this owner may use for the machine.
std::uint64_t ShareController::min_token(const Machine& m) const {
  return std::max(epoch_, m.record.epoch) << place::kEpochShift;
}
/// Returns the token that messages to the machine carry now.
std::uint64_t ShareController::current_token(const Machine& m) const { return min_token(m) + m.token_offset; }

void ShareController::raise_epoch(std::uint64_t epoch) {
  if (epoch <= epoch_) return;
  epoch_ = epoch;
  placement_.raise_epoch(epoch);
  view_.note_new_capacity();
}

// ---------------------------------------------------------------- events

void ShareController::on_job_record(const std::string& id, const JobRecord& record,
                                    bool accepted_after_takeover, Micros now, Micros time_of_day) {
  auto it = view_.jobs.find(id);
  if (record.final()) {
    rows_of_unplanned_jobs_.erase(id);
    if (it == view_.jobs.end()) return;
    Job& j = *it->second;
    (record.status == wire::JobStatus::cancelled ? j.cancelled : j.finished) = true;
    const auto active = j.active;  // a copy: dropping an attempt that was not sent yet removes it
    for (const auto& [index, m] : active) {
      auto p = m->tasks.find({id, index});
      if (p == m->tasks.end()) continue;
      if (p->second.phase == AttemptPhase::assigned)
        view_.free_attempt(*m, p, now, FreeReason::job_over);
      else
        view_.halt(p->second, 0);
    }
    view_.erase_if_over(id);
    return;
  }
  if (it != view_.jobs.end()) {
    it->second->version = record.version;
    return;
  }
  auto j = std::make_unique<Job>();
  j->spec = record.spec;
  j->id = id;
  j->kind = view_.kind_of(*record.spec, types_);
  j->start_within = kDefaultStartWithin;
  for (const auto& o : platform_.objectives)
    if (o.job_class == record.spec->job_class) {
      if (o.kind == "wait") j->start_within = o.time_limit;
      if (o.kind == "finished") j->finish_within = o.time_limit;
    }
  j->version = record.version;
  j->submitted = now - std::max<Micros>(0, time_of_day - record.submitted);
  j->ready = j->submitted;
  j->rank = record.spec->rank;
  if (record.spec->deadline) j->finish_by = j->submitted + *record.spec->deadline;
  j->waiting_since = now;
  j->accepted_since_takeover = accepted_after_takeover;
  note_gpu_job(*record.spec);
  j->done = DoneSet(record.spec->tasks);
  j->recorded = j->recorded_in_chunks = j->done;
  Job& known = *view_.jobs.emplace(id, std::move(j)).first->second;
  ++view_.change_count;
  const auto rows = rows_of_unplanned_jobs_.extract(id);
  if (rows)
    for (const auto& [row, read] : rows.mapped()) load_progress_row(id, row, read.text, read.version);
  // This must come before any of its tasks can be placed: machines may already have reported that some of
  // them are running or done.
  attribute_to_job(known, now);
}

void ShareController::set_scheduling_goals(const std::string& id, const job::SchedulingGoals& goals,
                                           Micros now, Micros time_of_day) {
  auto it = view_.jobs.find(id);
  if (it == view_.jobs.end()) return;
  Job& j = *it->second;
  ++view_.change_count;
  if (j.rank != goals.rank) {
    j.rank = goals.rank;
    for (const auto& [index, m] : j.active) m->task_summary_stale = true;
  }
  j.ready = std::max(j.submitted, now - std::max<Micros>(0, time_of_day - goals.ready));
  j.finish_by.reset();
  if (goals.finish_by) j.finish_by = now + (*goals.finish_by - time_of_day);
}

void ShareController::finish_loading(Micros now) {
  loaded_ = true;
  update_all_accounted_for(now);
}

void ShareController::on_machine_record(const MachineRecord& record, bool was_empty, Micros now) {
  const bool added = !view_.machines.contains(record.id);
  Machine& m = view_.add_machine(record);
  if (!added) return;
  for (std::size_t i = 0; i < types_.size(); ++i)
    if (types_[i].name == record.type) m.type = &types_[i], m.type_index = i;
  if (m.type) m.free = m.type->total;
  // A machine recorded before the takeover may hold any attempt until it reports under our token, or until
  // the lease that a former owner could last have renewed has expired. A machine that joins later was empty
  // when it was handed over.
  m.handed_over_empty = was_empty;
  m.lease_expires_at = latest_lease_end(was_empty ? now : std::max(now, renewable_until_));
  m.idle_since = now;
  m.gpu_idle_since = now;
  m.neuron = placement_.rnn().add_machine(record.id);
}

void ShareController::on_machine_removed(const std::string& id, Micros now) {
  auto it = view_.machines.find(id);
  if (it == view_.machines.end()) return;
  free_all_attempts(it->second, now, FreeReason::left_share);
  placement_.rnn().remove_machine(it->second.neuron);
  view_.remove_machine(it);
  update_all_accounted_for(now);
}

// ---------------------------------------------------------------- planning

/// Notes and logs when every machine has been accounted for after a takeover.
void ShareController::update_all_accounted_for(Micros) {
  if (view_.all_accounted_for || !loaded_) return;
  for (const auto& [id, m] : view_.machines)
    if ((!m.accounted_for && !m.handed_over_empty) || awaits_job_records(m)) return;
  view_.all_accounted_for = true;
  spdlog::info("share {}: all machines accounted for: {} machines, {} jobs", settings_.share,
               view_.machines.size(), view_.jobs.size());
}

/// Logs, once per takeover, how many machines keep it from completing, and the first of them.
void ShareController::log_unaccounted_machines(Micros now) {
  if (view_.all_accounted_for || logged_unaccounted_machines_ || now - taken_over_at_ < kUnaccountedLogDelay)
    return;
  logged_unaccounted_machines_ = true;
  std::size_t unaccounted = 0;
  const Machine* first = nullptr;
  for (const Machine* m : view_.machines_by_id)
    if (!m->accounted_for && !m->handed_over_empty && ++unaccounted == 1) first = m;
  if (first)
    spdlog::info("share {}: {} of {} machines not accounted for yet, the first is {} ({}, {}{})",
                 settings_.share, unaccounted, view_.machines.size(), first->record.id, first->record.type,
                 first->record.zone, first->spot ? ", spot" : "");
}

bool ShareController::tick(Micros now, StartRefusal owner_refusal) {
  if (!loaded_) return false;
  log_unaccounted_machines(now);
  resolve_unattributed_attempts(now);
  for (Machine* entry : view_.machines_by_id) {
    Machine& m = *entry;
    if (now >= m.lease_expires_at && (m.up || !m.accounted_for)) {
      free_all_attempts(m, now, FreeReason::lease_expired);
      m.up = false;
      m.accounted_for = true;
      view_.note_new_capacity();
      update_all_accounted_for(now);
    }
    measure_result_wait(m, now);
    if (m.drain_until > 0 && now >= m.drain_until)
      m.drain_until = 0, m.drain_target = -2, view_.note_new_capacity();
    if (m.reclaim_at)  // tasks with checkpoints save their state before the cloud takes the machine back
      for (auto& [key, p] : m.tasks)
        if (p.job && !p.halting && p.job->spec->checkpoint_interval > 0 &&
            p.phase != AttemptPhase::assigned) {
          if (p.job->spec->shape == Shape::gang)
            view_.stop_gang(*p.job, p.job->spec->checkpoint_duration);
          else
            view_.halt(p, p.job->spec->checkpoint_duration);
        }
  }
  if (owner_refusal != StartRefusal::none) {
    if (waiting_tasks() > 0) count_start_refusal(owner_refusal);
    return false;
  }
  // The cost of a pass depends on what has changed: placements that failed are not tried again until
  // something changes, and without any change there is no pass. Effects of time alone (reserved capacity that
  // becomes free, a deadline that comes near) are looked for every kFullPassInterval.
  const bool due = now - last_full_pass_ >= kFullPassInterval || now < last_full_pass_;
  if (due) last_full_pass_ = now, view_.note_new_capacity();
  if (!due && changes_at_last_complete_pass_ == view_.change_count) return false;
  const bool complete = placement_.place_waiting_tasks(now, kMaxPlacedPerPass);
  if (complete) changes_at_last_complete_pass_ = view_.change_count;
  return !complete;
}

// ---------------------------------------------------------------- machines that leave the share

bool ShareController::release(const std::string& machine, Micros) {
  auto it = view_.machines.find(machine);
  if (it == view_.machines.end()) return false;
  Machine& m = it->second;
  const ReleaseRefusal why = release_refusal(m);
  if (why != ReleaseRefusal::none) {
    ++releases_refused_.at(static_cast<std::size_t>(why));
    return false;
  }
  m.leaving = true;
  return true;
}

void ShareController::drain(const std::string& machine, int to, Rank rank, Micros now) {
  auto it = view_.machines.find(machine);
  if (it == view_.machines.end() || !loaded_ || !it->second.up) return;
  Machine& m = it->second;
  if (m.drain_until > now && (rank != Rank::low || m.drain_target != to)) return;
  if (rank == Rank::low) {  // no rank is below it: running tasks may finish, and no more are placed
    m.drain_target = to;
    m.drain_until = now + 2 * kDrainTimeout;
    return;
  }
  for (const auto& [key, p] : m.tasks)
    if (!p.job || p.job->rank >= rank) return;
  spdlog::info("machine {}: stopping {} tasks to move the machine to share {}", machine, m.tasks.size(), to);
  m.drain_target = to;
  m.drain_until = now + kDrainTimeout;
  for (auto& [key, p] : m.tasks) {
    const Micros grace = p.job->spec->checkpoint_interval > 0 ? p.job->spec->checkpoint_duration : 0;
    if (p.job->spec->shape == Shape::gang)
      view_.stop_gang(*p.job, grace);
    else
      view_.halt(p, grace);
  }
}

std::vector<std::pair<std::string, int>> ShareController::drained_machines() const {
  std::vector<std::pair<std::string, int>> out;
  for (const auto& [id, m] : view_.machines)
    if (m.drain_until > 0 && m.drain_target >= -1 && release_refusal(m) == ReleaseRefusal::none)
      out.emplace_back(id, m.drain_target);
  return out;
}

void ShareController::cancel_release(const std::string& machine) {
  if (auto it = view_.machines.find(machine); it != view_.machines.end())
    it->second.leaving = false, view_.note_new_capacity();
}

}  // namespace aspenwick::share
