#include "job/record.h"

#include <algorithm>
#include <set>

namespace aspenwick::job {
namespace {
constexpr char kHex[] = "0123456789abcdef";
int hex_value(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  return 0;
}
}  // namespace

wire::Json record_to_json(const JobRecord& r) {
  static constexpr const char* kNames[] = {"queued", "running", "done", "withdrawn"};
  wire::Json j{{"st", kNames[static_cast<int>(r.status)]}, {"at", r.submitted}};
  if (r.finished > 0) j["fin"] = r.finished;
  if (r.spec && r.status != JobStatus::done) j["spec"] = wire::job_to_json(*r.spec);
  return j;
}

RecordRows record_to_rows(const JobRecord& r, std::size_t limit, const std::string& tag) {
  RecordRows out{record_to_json(r), {}};
  if (out.value.dump().size() <= limit) return out;
  // ASCII text can be cut anywhere. Sizes are those inside a JSON string, with escapes and quotes.
  const std::string text = out.value.at("spec").dump(-1, ' ', true);
  std::size_t size = limit;
  for (const char c : text) {
    const std::size_t escaped_size = c == '"' || c == '\\' ? 2 : 1;
    if (size + escaped_size + 2 > limit) out.parts.emplace_back(), size = 0;
    out.parts.back().push_back(c);
    size += escaped_size;
  }
  out.value.erase("spec");
  out.value["parts"] = out.parts.size();
  out.value["tag"] = tag;
  return out;
}

std::shared_ptr<const JobSpec> spec_from_parts(const std::vector<std::string>& parts) {
  std::string text;
  for (const auto& p : parts) text += p;
  return std::make_shared<const JobSpec>(wire::job_from_json(wire::Json::parse(text)));
}

wire::Json cancelled_record_json(const JobRecord& r, std::size_t limit) {
  JobRecord cancelled = r;
  cancelled.status = JobStatus::cancelled;
  if (!cancelled.spec) return record_to_json(cancelled);
  wire::JobSpec spec = *cancelled.spec;
  spec.types.reset();
  spec.dependencies.clear();
  if (spec.image.size() + spec.job_class.size() > limit / 16) spec.image.clear(), spec.job_class = spec.team;
  cancelled.spec = std::make_shared<const JobSpec>(std::move(spec));
  return record_to_json(cancelled);
}

std::vector<wire::Json> types_to_rows(const std::vector<wire::MachineType>& types, std::size_t limit) {
  std::vector<wire::Json> rows{wire::machine_types_to_json(types)};
  if (rows[0].dump().size() <= limit) return rows;
  rows.clear();
  std::vector<wire::MachineType> row_types;
  for (const auto& t : types) {
    row_types.push_back(t);
    if (row_types.size() == 1 || wire::machine_types_to_json(row_types).dump().size() + 16 <= limit) continue;
    row_types.pop_back();
    rows.push_back(wire::machine_types_to_json(row_types));
    row_types = {t};
  }
  rows.push_back(wire::machine_types_to_json(row_types));
  for (auto& r : rows) r["rows"] = rows.size();
  return rows;
}

void keep_usable_types(JobSpec& spec, const std::vector<wire::MachineType>& types) {
  if (!spec.types) return;
  std::vector<std::string> usable;
  for (const auto& t : types)
    if (type_allowed(spec, t)) usable.push_back(t.name);
  spec.types = std::move(usable);
}

JobRecord record_from_json(const wire::Json& j, std::uint64_t version) {
  JobRecord r;
  r.version = version;
  const auto status = j.at("st").get<std::string>();
  r.status = status == "done"        ? JobStatus::done
             : status == "withdrawn" ? JobStatus::cancelled
                                     : JobStatus::queued;
  r.submitted = j.at("at").get<Micros>();
  if (auto it = j.find("fin"); it != j.end() && it->is_number_integer()) r.finished = it->get<Micros>();
  if (auto it = j.find("parts"); it != j.end()) {
    r.parts = it->get<std::uint32_t>();
    r.parts_tag = j.at("tag").get<std::string>();
  }
  if (r.status != JobStatus::done && ((!r.final() && r.parts == 0) || j.contains("spec")))
    r.spec = std::make_shared<const JobSpec>(wire::job_from_json(j.at("spec")));
  return r;
}

bool DoneSet::set(std::uint32_t i) {
  if (i >= bits_.size() || bits_[i]) return false;
  bits_[i] = true;
  ++count_;
  return true;
}

std::string DoneSet::text(std::size_t first, std::size_t tasks) const {
  const std::size_t end = std::min<std::size_t>(bits_.size(), first + tasks);
  std::string out;
  for (std::size_t i = first; i < end; i += 4) {
    unsigned v = 0;
    for (std::size_t b = 0; b < 4 && i + b < end; ++b) v |= static_cast<unsigned>(bits_[i + b]) << b;
    out.push_back(kHex[v]);
  }
  while (!out.empty() && out.back() == '0') out.pop_back();
  return out;
}

void DoneSet::merge(std::uint32_t row, std::uint32_t tasks, const std::string& text) {
  for (std::size_t c = 0; c < text.size() && c < tasks / 4; ++c)
    for (unsigned b = 0; b < 4; ++b)
      if ((hex_value(text[c]) >> b) & 1)
        set(static_cast<std::uint32_t>(std::size_t{row} * tasks + c * 4 + b));
}

bool type_allowed(const JobSpec& spec, const wire::MachineType& type) {
  if (spec.types && std::find(spec.types->begin(), spec.types->end(), type.name) == spec.types->end())
    return false;
  if (spec.zone && std::find(type.zones.begin(), type.zones.end(), *spec.zone) == type.zones.end())
    return false;
  return spec.need.fits_in(type.total);
}

std::string unschedulable_reason(const JobSpec& spec, const std::vector<wire::MachineType>& types,
                                 const std::vector<wire::Team>& teams) {
  auto team = std::find_if(teams.begin(), teams.end(), [&](const auto& t) { return t.name == spec.team; });
  if (team == teams.end()) return "unknown team";
  if (std::none_of(types.begin(), types.end(), [&](const auto& t) { return type_allowed(spec, t); }))
    return "a task fits no allowed machine type";
  const auto concurrent_need = spec.need * (spec.shape == wire::Shape::array ? 1 : spec.tasks);
  if ((team->limit.cpus > 0 && concurrent_need.cpus > team->limit.cpus) ||
      (team->limit.gpus > 0 && concurrent_need.gpus > team->limit.gpus))
    return "the job needs more than the team's limit";
  // A gang runs whole or not at all. With `spread`, at most half of it, rounded up, may be in one zone.
  if (spec.shape == wire::Shape::gang && spec.spread && spec.tasks > 1) {
    std::set<std::string> zones;
    for (const auto& t : types)
      if (type_allowed(spec, t)) zones.insert(t.zones.begin(), t.zones.end());
    if (spec.one_zone || spec.zone || zones.size() < 2) return "a gang to be spread has one zone only";
  }
  return {};
}

}  // namespace aspenwick::job
