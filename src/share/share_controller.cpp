#include "share/share_controller.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace aspenwick::share {

using wire::Rank;
using wire::Shape;

namespace {
constexpr double kDrift = 0.001;  // two clocks of 0.05% each
constexpr Micros kMargin = 300 * kMillisecond;
constexpr Micros kLookAgain = 200 * kMillisecond;
constexpr std::uint64_t kMostPlaced =
    1000;  // in one pass, a few milliseconds: leases and reports wait for it
constexpr Micros kDefaultWait = 60 * kSecond;
constexpr Micros kDrainFor = 20 * kSecond;
constexpr Micros kSilentFor = 1500 * kMillisecond;  // after a takeover, before it is worth a line
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
      lookup_(std::move(lookup)),
      held_since_(now),
      placement_(platform, types, view_, settings.rnn, epoch) {
  for (const auto& z : platform.zones) zones_.push_back(view_.zone_index(z));
}

Micros ShareController::surely_lapsed(Micros answered) const {
  return answered + static_cast<Micros>(static_cast<double>(platform_.worker_lease) * (1 + kDrift)) + kMargin;
}

std::uint64_t ShareController::floor(const Machine& m) const {
  return std::max(epoch_, m.record.epoch) << place::kEpochShift;
}
std::uint64_t ShareController::token(const Machine& m) const { return floor(m) + m.token_offset; }

void ShareController::raise_epoch(std::uint64_t epoch) {
  if (epoch <= epoch_) return;
  epoch_ = epoch;
  placement_.raise_epoch(epoch);
  view_.note_new_capacity();
}

// ---------------------------------------------------------------- events

void ShareController::job_known(const std::string& id, const JobRecord& record, bool fresh, Micros now,
                                Micros time_of_day) {
  auto it = view_.jobs.find(id);
  if (record.final()) {
    rows_before_jobs_.erase(id);
    if (it == view_.jobs.end()) return;
    Job& j = *it->second;
    (record.status == wire::JobStatus::cancelled ? j.cancelled : j.finished) = true;
    const auto active = j.active;  // halting a task not yet sent removes it
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
  j->start_within = kDefaultWait;
  for (const auto& o : platform_.objectives)
    if (o.job_class == record.spec->job_class) {
      if (o.kind == "wait") j->start_within = o.within;
      if (o.kind == "finished") j->finish_within = o.within;
    }
  j->version = record.version;
  j->submitted = now - std::max<Micros>(0, time_of_day - record.submitted);
  j->ready = j->submitted;
  j->rank = record.spec->rank;
  if (record.spec->deadline) j->finish_by = j->submitted + *record.spec->deadline;
  j->waiting_since = now;
  j->accepted_since_takeover = fresh;
  note_gpu_job(*record.spec);
  j->done = DoneSet(record.spec->tasks);
  j->recorded = j->recorded_whole = j->done;
  Job& known = *view_.jobs.emplace(id, std::move(j)).first->second;
  ++view_.change_count;
  const auto rows = rows_before_jobs_.extract(id);
  if (rows)
    for (const auto& [row, read] : rows.mapped()) load_done(id, row, read.text, read.version);
  // Before anything of it can be placed: its tasks may be running, or done, on machines that told so already.
  attribute(known, now);
}

void ShareController::set_course(const std::string& id, const job::Course& course, Micros now,
                                 Micros time_of_day) {
  auto it = view_.jobs.find(id);
  if (it == view_.jobs.end()) return;
  Job& j = *it->second;
  ++view_.change_count;
  if (j.rank != course.rank) {
    j.rank = course.rank;
    for (const auto& [index, m] : j.active) m->task_summary_stale = true;
  }
  j.ready = std::max(j.submitted, now - std::max<Micros>(0, time_of_day - course.ready));
  j.finish_by.reset();
  if (course.finish_by) j.finish_by = now + (*course.finish_by - time_of_day);
}

void ShareController::loaded(Micros now) {
  loaded_ = true;
  check_rebuilt(now);
}

void ShareController::machine_known(const MachineRecord& record, bool handed_empty, Micros now) {
  const bool added = !view_.machines.contains(record.id);
  Machine& m = view_.add_machine(record);
  if (!added) return;
  for (std::size_t i = 0; i < types_.size(); ++i)
    if (types_[i].name == record.type) m.type = &types_[i], m.type_index = i;
  if (m.type) m.free = m.type->total;
  // A machine recorded before our takeover may hold anything until it reports under our token, or until the
  // lease that the former owner could last have renewed has lapsed. One that joins later was handed over
  // empty.
  m.handed_over_empty = handed_empty;
  m.lease_expires_at = surely_lapsed(handed_empty ? now : std::max(now, renewable_until_));
  m.idle_since = now;
  m.gpu_idle_since = now;
  m.neuron = placement_.rnn().add_machine(record.id);
}

void ShareController::machine_gone(const std::string& id, Micros now) {
  auto it = view_.machines.find(id);
  if (it == view_.machines.end()) return;
  lapse(it->second, now, FreeReason::left_share);
  placement_.rnn().remove_machine(it->second.neuron);
  view_.remove_machine(it);
  check_rebuilt(now);
}

// ---------------------------------------------------------------- planning

void ShareController::check_rebuilt(Micros) {
  if (view_.rebuilt || !loaded_) return;
  for (const auto& [id, m] : view_.machines)
    if ((!m.accounted_for && !m.handed_over_empty) || awaits_records(m)) return;
  view_.rebuilt = true;
  spdlog::info("share {}: rebuilt, {} machines, {} jobs", settings_.share, view_.machines.size(),
               view_.jobs.size());
}

/// Which machines keep a takeover from being whole, for operators: said once.
void ShareController::say_silent(Micros now) {
  if (view_.rebuilt || said_silent_ || now - held_since_ < kSilentFor) return;
  said_silent_ = true;
  std::size_t silent = 0;
  const Machine* first = nullptr;
  for (const Machine* m : view_.machines_by_id)
    if (!m->accounted_for && !m->handed_over_empty && ++silent == 1) first = m;
  if (first)
    spdlog::info("share {}: {} of {} machines have not answered, {} ({}, {}{}) ...", settings_.share, silent,
                 view_.machines.size(), first->record.id, first->record.type, first->record.zone,
                 first->spot ? ", spot" : "");
}

bool ShareController::tick(Micros now, StartRefusal of_owner) {
  if (!loaded_) return false;
  say_silent(now);
  attribute_open(now);
  for (Machine* at : view_.machines_by_id) {
    Machine& m = *at;
    if (now >= m.lease_expires_at && (m.up || !m.accounted_for)) {
      lapse(m, now, FreeReason::lease_expired);
      m.up = false;
      m.accounted_for = true;
      view_.note_new_capacity();
      check_rebuilt(now);
    }
    note_result_wait(m, now);
    if (m.drain_until > 0 && now >= m.drain_until)
      m.drain_until = 0, m.drain_target = -2, view_.note_new_capacity();
    if (m.reclaim_at)  // save what can be saved before the machine goes
      for (auto& [key, p] : m.tasks)
        if (p.job && !p.halting && p.job->spec->checkpoint_every > 0 && p.phase != AttemptPhase::assigned) {
          if (p.job->spec->shape == Shape::gang)
            view_.stop_gang(*p.job, p.job->spec->save_time);
          else
            view_.halt(p, p.job->spec->save_time);
        }
  }
  if (of_owner != StartRefusal::none) {
    if (waiting() > 0) count_refusal(of_owner);
    return false;
  }
  // A pass costs what changed: what was tried in vain since then isn't tried again, and nothing is where
  // nothing changed. What only time brings (room no longer held, a deadline that presses) is looked for now
  // and then.
  const bool due = now - looked_ >= kLookAgain || now < looked_;
  if (due) looked_ = now, view_.note_new_capacity();
  if (!due && placed_at_ == view_.change_count) return false;
  const bool whole = placement_.place_waiting_tasks(now, kMostPlaced);
  if (whole) placed_at_ = view_.change_count;
  return !whole;
}

// ---------------------------------------------------------------- giving machines away

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
  if (rank == Rank::low) {  // nothing ranks below: what runs may finish, nothing more is placed
    m.drain_target = to;
    m.drain_until = now + 2 * kDrainFor;
    return;
  }
  for (const auto& [key, p] : m.tasks)
    if (!p.job || p.job->rank >= rank) return;
  spdlog::info("machine {}: {} tasks stopped to give it to share {}", machine, m.tasks.size(), to);
  m.drain_target = to;
  m.drain_until = now + kDrainFor;
  for (auto& [key, p] : m.tasks) {
    const Micros grace = p.job->spec->checkpoint_every > 0 ? p.job->spec->save_time : 0;
    if (p.job->spec->shape == Shape::gang)
      view_.stop_gang(*p.job, grace);
    else
      view_.halt(p, grace);
  }
}

std::vector<std::pair<std::string, int>> ShareController::drained() const {
  std::vector<std::pair<std::string, int>> out;
  for (const auto& [id, m] : view_.machines)
    if (m.drain_until > 0 && m.drain_target >= -1 && release_refusal(m) == ReleaseRefusal::none)
      out.emplace_back(id, m.drain_target);
  return out;
}

void ShareController::keep(const std::string& machine) {
  if (auto it = view_.machines.find(machine); it != view_.machines.end())
    it->second.leaving = false, view_.note_new_capacity();
}

}  // namespace aspenwick::share
