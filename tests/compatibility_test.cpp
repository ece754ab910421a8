// Old and new versions run together and on each other's data: what the version in production wrote is read,
// and what we write is what it reads. tests/kept/ has its rows and frames, taken from that version itself.
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "fixtures.h"
#include "job/record.h"
#include "share/ownership.h"
#include "share/peer_frame.h"

namespace aspenwick {
namespace {

/// The lines of a kept file: a name, and the rest of its line.
std::vector<std::pair<std::string, std::string>> kept(const std::string& file) {
  std::ifstream in(std::string(KEPT) + "/" + file);
  std::vector<std::pair<std::string, std::string>> out;
  for (std::string line; std::getline(in, line);)
    if (const auto space = line.find(' '); !line.empty() && line[0] != '#')
      out.emplace_back(line.substr(0, space), line.substr(space + 1));
  EXPECT_GT(out.size(), 4U) << file;
  return out;
}

std::string from_hex(const std::string& hex) {
  std::string out;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
    out.push_back(static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
  return out;
}

TEST(Compatibility, FramesAreThoseOfTheVersionInProduction) {
  // It drops the connection on another version, an unknown type or a byte too many.
  for (const auto& [name, hex] : kept("production-frames.txt"))
    EXPECT_EQ(share::encode(share::decode(from_hex(hex))), from_hex(hex)) << name;
}

TEST(Compatibility, RowsOfTheVersionInProductionAreReadAndWrittenAlike) {
  for (const auto& [key, text] : kept("production-rows.txt")) {
    const auto value = wire::Json::parse(text);
    if (key.starts_with("s/job/")) {
      const auto r = job::record_from_json(value, 7);
      EXPECT_EQ(job::record_to_json(r), value) << text;
      if (r.spec) {
        EXPECT_EQ(job::record_to_rows(r, 1024, "t").value, value);
      }
    } else if (key.starts_with("s/machine/")) {
      EXPECT_EQ(share::machine_to_json(share::machine_from_json("i-000007", value, 7)), value);
    } else if (key.starts_with("s/holder/")) {
      EXPECT_EQ(share::owner_to_json(share::owner_from_json(value, 7)), value);
    } else if (key == "s/types") {
      EXPECT_EQ(job::types_to_rows(wire::types_from_json(value), 2048), std::vector{value});
    } else if (key.starts_with("p/")) {
      job::DoneSet d(30);
      d.merge_chunk(0, value.get<std::string>());
      EXPECT_EQ(d.chunk_text(0), value.get<std::string>());
      EXPECT_EQ(d.count(), 4U);
    }
  }
}

TEST(Compatibility, OnlyOptionalFieldsAreAdded) {
  // That version takes from a record `st`, `at` and, unless the job is done, `spec`; the rest it ignores and
  // loses.
  job::JobRecord r;
  auto j = testing::job_json();
  j["waitsOn"] = {"j-1", "j-2"};
  r.spec = std::make_shared<wire::JobSpec>(wire::job_from_json(j));
  auto value = job::record_to_json(r);
  value["spec"].erase("waitsOn");
  r.spec = std::make_shared<wire::JobSpec>(wire::job_from_json(testing::job_json()));
  EXPECT_EQ(value, job::record_to_json(r));
  r.status = job::JobStatus::done, r.finished = 5;
  value = job::record_to_json(r);
  EXPECT_EQ(value.at("fin"), 5);
  value.erase("fin");
  r.finished = 0;
  EXPECT_EQ(value, job::record_to_json(r));
}

TEST(Compatibility, SmallRowsHoldWhatLargeOnesDid) {
  job::JobRecord r;
  auto j = testing::job_json();
  for (int i = 0; i < 3000; ++i) j["waitsOn"].push_back("j-" + std::to_string(100'000 + i));
  j["bundle"] = "im\"age \\ \xc3\xa4";
  r.spec = std::make_shared<wire::JobSpec>(wire::job_from_json(j));
  const auto rows = job::record_to_rows(r, 1792, "tag");
  EXPECT_LE(rows.value.dump().size(), 1792U);
  EXPECT_GT(rows.parts.size(), 10U);
  for (const auto& p : rows.parts) EXPECT_LE(wire::Json(p).dump().size(), 1792U);
  EXPECT_EQ(wire::job_to_json(*job::spec_from_parts(rows.parts)), wire::job_to_json(*r.spec));
  const auto back = job::record_from_json(rows.value, 3);
  EXPECT_EQ(back.parts, rows.parts.size());
  EXPECT_EQ(back.parts_tag, "tag");
  EXPECT_FALSE(back.spec);
  // Withdrawn, an old large record must be written again: what stopping its tasks needs is kept.
  j["rigtypes"] = std::vector<std::string>(100, std::string(180, 't'));
  j["jobclass"] = std::string(200, '\1');
  r.spec = std::make_shared<wire::JobSpec>(wire::job_from_json(j));
  const auto cancelled = job::cancelled_record_json(r, 1792);
  EXPECT_LE(cancelled.dump().size(), 1792U);
  EXPECT_EQ(job::record_from_json(cancelled, 4).spec->team, "red");
  EXPECT_EQ(job::record_from_json(cancelled, 4).spec->need, r.spec->need);
}

/// An owner of one job of 20,000 tasks, whose whole chunk takes more than a value may.
class ManyTasks : public ::testing::Test {
 protected:
  ManyTasks() {
    auto settings = testing::settings_json();
    settings["params"]["state"]["next"] = {{"value_kb", 2}};
    platform_ = wire::parse_settings(settings.dump());
    auto j = testing::job_json();
    j["pieces"] = 20'000;
    record_.spec = std::make_shared<wire::JobSpec>(wire::job_from_json(j));
  }
  std::unique_ptr<share::ShareController> holder() {
    auto h = std::make_unique<share::ShareController>(
        platform_, types_, share::ShareControllerSettings{}, [this](const std::string&) { return &record_; },
        5, 0, 0);
    h->on_job_record("j-000412", record_, false, 0, 0);
    h->on_machine_record({"i-1", "127.0.0.1:9", "cpu8", "z1"}, true, 0);
    return h;
  }
  /// The machine says that these tasks are done; how many of them it may forget.
  std::size_t forgets(share::ShareController& h, std::uint32_t from, std::uint32_t to) {
    wire::WorkerReport r;
    r.machine = "i-1", r.session = 1, r.seq = ++seq_, r.token = 5ULL << 20;
    for (std::uint32_t i = from; i < to; ++i)
      r.tasks.push_back({"j-000412", i, 1, wire::TaskState::exited, wire::Cause::done, false});
    return h.on_report(r, 0, place::StartRefusal::lease_not_valid)->orders.size();
  }
  static std::vector<share::ShareController::ProgressWrite> write(share::ShareController& h) {
    auto writes = h.take_progress_writes(100);
    for (const auto& w : writes) h.on_progress_write_result(w, true, 3);
    return writes;
  }

  wire::PlatformSettings platform_;
  std::vector<wire::MachineType> types_ = testing::machine_types();
  job::JobRecord record_;
  std::uint64_t seq_ = 0;
};

TEST_F(ManyTasks, AChunkThatOutgrowsItsValueIsKeptUnitByUnit) {
  auto h = holder();
  h->finish_loading(0);
  forgets(*h, 0, 300);
  auto first = write(*h);
  ASSERT_EQ(first.size(), 1U);
  EXPECT_EQ(share::ShareController::row_name(first[0].row), "0");  // every version reads this one
  EXPECT_EQ(forgets(*h, 0, 300), 300U);
  forgets(*h, 7900, 8300);
  auto rest = write(*h);
  std::vector<std::string> names;
  for (const auto& w : rest) {
    names.push_back(share::ShareController::row_name(w.row));
    EXPECT_LE(w.text.size() + 2, platform_.value_room());
  }
  EXPECT_EQ(names, (std::vector<std::string>{"u/3", "u/4"}));
  // An older version could take over, and reads no units: the workers keep those results.
  EXPECT_EQ(forgets(*h, 7900, 8300), 0U);
  h->set_all_controllers_read_units(true);
  EXPECT_EQ(forgets(*h, 7900, 8300), 300U);  // as many as one answer takes
  // A successor finds all of them.
  auto successor = holder();
  for (const auto& w : {first[0], rest[0], rest[1]})
    successor->load_progress_row("j-000412", w.row, w.text, 3);
  EXPECT_EQ(successor->task_counts("j-000412")->first, 700U);
}

TEST_F(ManyTasks, AnOlderVersionsLongRowIsNeverShortened) {
  auto h = holder();
  h->load_progress_row("j-000412", 0, std::string(4000, 'f'), 9);
  h->finish_loading(0);
  EXPECT_EQ(forgets(*h, 0, 10), 10U);
  forgets(*h, 16'100, 16'200);
  const auto writes = write(*h);
  ASSERT_EQ(writes.size(), 1U);
  EXPECT_EQ(share::ShareController::row_name(writes[0].row), "u/7");
  EXPECT_EQ(h->progress_row_names("j-000412"), (std::vector<std::string>{"j-000412/0", "j-000412/u/7"}));
}

TEST(Compatibility, RowsOfUnitsAreNoRowsToAnOlderVersion) {
  EXPECT_EQ(share::ShareController::parse_row_name("j-1/5"),
            (std::pair<std::string, std::uint32_t>{"j-1", 5}));
  const std::uint32_t unit = share::ShareController::kFirstUnitRow + 5;
  EXPECT_EQ(share::ShareController::parse_row_name("j-1/u/5"),
            (std::pair<std::string, std::uint32_t>{"j-1", unit}));
  // It cuts at the last slash and looks the job up by what is before it.
  const std::string name = "j-1/" + share::ShareController::row_name(unit);
  EXPECT_FALSE(wire::valid_job_id(name.substr(0, name.rfind('/'))));
  for (const char* bad : {"", "j-1", "j-1/", "j-1/x", "j-1/u/", "j-1/99999999999"})
    EXPECT_FALSE(share::ShareController::parse_row_name(bad)) << bad;
}

TEST(Compatibility, ManyMachineTypesTakeSeveralRows) {
  std::vector<wire::MachineType> types(40, testing::machine_types()[0]), back;
  for (std::size_t i = 0; i < types.size(); ++i) types[i].name = "t" + std::to_string(100 + i);
  const auto rows = job::types_to_rows(types, 1792);
  EXPECT_GT(rows.size(), 1U);
  for (const auto& row : rows) {
    EXPECT_LE(row.dump().size(), 1792U);
    EXPECT_EQ(row.at("rows"), rows.size());
    for (auto& t : wire::types_from_json(row)) back.push_back(t);
  }
  EXPECT_EQ(wire::types_to_json(back), wire::types_to_json(types));
}

TEST(Compatibility, TypesThatCannotTakeATaskNeedNotBeKept) {
  auto j = testing::job_json();
  j["rigtypes"] = {"cpu8", "no-such-type", "gpu4"};
  j["ramGb"] = 40;  // more than a cpu8 has
  auto spec = wire::job_from_json(j);
  job::keep_usable_types(spec, testing::machine_types());
  EXPECT_EQ(*spec.types, std::vector<std::string>{"gpu4"});
}

}  // namespace
}  // namespace aspenwick
