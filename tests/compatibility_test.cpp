// Old and new versions run together and on each other's data: this version reads what the production version
// wrote, and writes only what that version can read. tests/kept/ has rows and frames that the production
// version wrote.
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "fixtures.h"
#include "job/record.h"
#include "share/ownership.h"
#include "share/peer_frame.h"

namespace aspenwick {
namespace {

/// The lines of a file in tests/kept/, but for comments: the first word, and the rest of the line.
std::vector<std::pair<std::string, std::string>> read_production_data(const std::string& file) {
  std::ifstream in(std::string(PRODUCTION_DATA_DIR) + "/" + file);
  std::vector<std::pair<std::string, std::string>> lines;
  for (std::string line; std::getline(in, line);)
    if (const auto space = line.find(' '); !line.empty() && line[0] != '#')
      lines.emplace_back(line.substr(0, space), line.substr(space + 1));
  EXPECT_GT(lines.size(), 4U) << file;
  return lines;
}

std::string from_hex(const std::string& hex) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
    bytes.push_back(static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
  return bytes;
}

TEST(Compatibility, FramesOfTheProductionVersionAreReadAndWrittenUnchanged) {
  // The production version drops the connection on another version, an unknown type or excess bytes.
  for (const auto& [name, hex] : read_production_data("production-frames.txt"))
    EXPECT_EQ(share::encode(share::decode(from_hex(hex))), from_hex(hex)) << name;
}

TEST(Compatibility, RowsOfTheProductionVersionAreReadAndWrittenUnchanged) {
  for (const auto& [key, text] : read_production_data("production-rows.txt")) {
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
      EXPECT_EQ(job::types_to_rows(wire::machine_types_from_json(value), 2048), std::vector{value});
    } else if (key.starts_with("p/")) {
      job::DoneSet d(30);
      d.merge_chunk(0, value.get<std::string>());
      EXPECT_EQ(d.chunk_text(0), value.get<std::string>());
      EXPECT_EQ(d.count(), 4U);
    }
  }
}

TEST(Compatibility, RecordsAddOnlyOptionalFields) {
  // The production version reads `st`, `at` and, unless the job is done, `spec` from a record. It ignores all
  // other fields, and drops them when it writes the record again.
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

TEST(Compatibility, LargeRecordsAreSplitIntoSmallRowsWithoutLoss) {
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
  const auto restored = job::record_from_json(rows.value, 3);
  EXPECT_EQ(restored.parts, rows.parts.size());
  EXPECT_EQ(restored.parts_tag, "tag");
  EXPECT_FALSE(restored.spec);
  // When the job of an old large record is cancelled, the record is written again within the limit: it keeps
  // what stopping the tasks needs.
  j["rigtypes"] = std::vector<std::string>(100, std::string(180, 't'));
  j["jobclass"] = std::string(200, '\1');
  r.spec = std::make_shared<wire::JobSpec>(wire::job_from_json(j));
  const auto cancelled = job::cancelled_record_json(r, 1792);
  EXPECT_LE(cancelled.dump().size(), 1792U);
  EXPECT_EQ(job::record_from_json(cancelled, 4).spec->team, "red");
  EXPECT_EQ(job::record_from_json(cancelled, 4).spec->need, r.spec->need);
}

/// The controller of a share with one job of 20,000 tasks, under a value limit below the size of a full
/// chunk.
class LargeJobTest : public ::testing::Test {
 protected:
  LargeJobTest() {
    auto settings = testing::settings_json();
    settings["params"]["state"]["next"] = {{"value_kb", 2}};
    platform_ = wire::parse_settings(settings.dump());
    auto j = testing::job_json();
    j["pieces"] = 20'000;
    record_.spec = std::make_shared<wire::JobSpec>(wire::job_from_json(j));
  }
  std::unique_ptr<share::ShareController> make_controller() {
    auto controller = std::make_unique<share::ShareController>(
        platform_, types_, share::ShareControllerSettings{}, [this](const std::string&) { return &record_; },
        5, 0, 0);
    controller->on_job_record("j-000412", record_, false, 0, 0);
    controller->on_machine_record({"i-1", "127.0.0.1:9", "cpu8", "z1"}, true, 0);
    return controller;
  }
  /// The machine reports tasks [from, to) as done. Returns how many of them the response lets it forget.
  std::size_t report_done(share::ShareController& controller, std::uint32_t from, std::uint32_t to) {
    wire::WorkerReport r;
    r.machine = "i-1", r.session = 1, r.seq = ++seq_, r.token = 5ULL << 20;
    for (std::uint32_t i = from; i < to; ++i)
      r.tasks.push_back({"j-000412", i, 1, wire::TaskState::exited, wire::ExitCause::done, false});
    return controller.on_report(r, 0, place::StartRefusal::lease_not_valid)->orders.size();
  }
  /// Writes all rows that are due, successfully, and returns them.
  static std::vector<share::ShareController::ProgressWrite> write_done_rows(
      share::ShareController& controller) {
    auto writes = controller.take_progress_writes(100);
    for (const auto& w : writes) controller.on_progress_write_result(w, true, 3);
    return writes;
  }

  wire::PlatformSettings platform_;
  std::vector<wire::MachineType> types_ = testing::machine_types();
  job::JobRecord record_;
  std::uint64_t seq_ = 0;
};

TEST_F(LargeJobTest, AChunkLargerThanAValueIsStoredInUnits) {
  auto controller = make_controller();
  controller->finish_loading(0);
  report_done(*controller, 0, 300);
  auto first_writes = write_done_rows(*controller);
  ASSERT_EQ(first_writes.size(), 1U);
  EXPECT_EQ(share::ShareController::row_name(first_writes[0].row),
            "0");  // a chunk, which every version reads
  EXPECT_EQ(report_done(*controller, 0, 300), 300U);
  report_done(*controller, 7900, 8300);
  auto later_writes = write_done_rows(*controller);
  std::vector<std::string> names;
  for (const auto& w : later_writes) {
    names.push_back(share::ShareController::row_name(w.row));
    EXPECT_LE(w.text.size() + 2, platform_.value_size_limit());
  }
  EXPECT_EQ(names, (std::vector<std::string>{"u/3", "u/4"}));
  // An older version, which reads no units, could take over: the workers must keep those results.
  EXPECT_EQ(report_done(*controller, 7900, 8300), 0U);
  controller->set_all_controllers_read_units(true);
  EXPECT_EQ(report_done(*controller, 7900, 8300), 300U);  // the most that one response holds
  // A successor loads all of them.
  auto successor = make_controller();
  for (const auto& w : {first_writes[0], later_writes[0], later_writes[1]})
    successor->load_progress_row("j-000412", w.row, w.text, 3);
  EXPECT_EQ(successor->task_counts("j-000412")->first, 700U);
}

TEST_F(LargeJobTest, ALongRowOfAnOlderVersionIsNotOverwritten) {
  auto controller = make_controller();
  controller->load_progress_row("j-000412", 0, std::string(4000, 'f'), 9);
  controller->finish_loading(0);
  EXPECT_EQ(report_done(*controller, 0, 10), 10U);
  report_done(*controller, 16'100, 16'200);
  const auto writes = write_done_rows(*controller);
  ASSERT_EQ(writes.size(), 1U);
  EXPECT_EQ(share::ShareController::row_name(writes[0].row), "u/7");
  EXPECT_EQ(controller->progress_row_names("j-000412"),
            (std::vector<std::string>{"j-000412/0", "j-000412/u/7"}));
}

TEST(Compatibility, UnitRowNamesAreNotJobIdsToAnOlderVersion) {
  EXPECT_EQ(share::ShareController::parse_row_name("j-1/5"),
            (std::pair<std::string, std::uint32_t>{"j-1", 5}));
  const std::uint32_t unit_row = share::ShareController::kFirstUnitRow + 5;
  EXPECT_EQ(share::ShareController::parse_row_name("j-1/u/5"),
            (std::pair<std::string, std::uint32_t>{"j-1", unit_row}));
  // The older version splits the name at the last slash and looks up the first part as a job id.
  const std::string name = "j-1/" + share::ShareController::row_name(unit_row);
  EXPECT_FALSE(wire::valid_job_id(name.substr(0, name.rfind('/'))));
  for (const char* bad : {"", "j-1", "j-1/", "j-1/x", "j-1/u/", "j-1/99999999999"})
    EXPECT_FALSE(share::ShareController::parse_row_name(bad)) << bad;
}

TEST(Compatibility, ManyMachineTypesAreSplitIntoSeveralRows) {
  std::vector<wire::MachineType> types(40, testing::machine_types()[0]), restored;
  for (std::size_t i = 0; i < types.size(); ++i) types[i].name = "t" + std::to_string(100 + i);
  const auto rows = job::types_to_rows(types, 1792);
  EXPECT_GT(rows.size(), 1U);
  for (const auto& row : rows) {
    EXPECT_LE(row.dump().size(), 1792U);
    EXPECT_EQ(row.at("rows"), rows.size());
    for (auto& t : wire::machine_types_from_json(row)) restored.push_back(t);
  }
  EXPECT_EQ(wire::machine_types_to_json(restored), wire::machine_types_to_json(types));
}

TEST(Compatibility, UnusableTypesAreDroppedFromASpec) {
  auto j = testing::job_json();
  j["rigtypes"] = {"cpu8", "no-such-type", "gpu4"};
  j["ramGb"] = 40;  // more than a cpu8 has
  auto spec = wire::job_from_json(j);
  job::keep_usable_types(spec, testing::machine_types());
  EXPECT_EQ(*spec.types, std::vector<std::string>{"gpu4"});
}

}  // namespace
}  // namespace aspenwick
