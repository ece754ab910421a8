// A long placement pass is split, so that leases and reports are handled in between; in the end all tasks are
// placed.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "fixtures.h"
#include "share/share_controller.h"

namespace aspenwick::share {
namespace {

TEST(SplitPass, ResumesUntilAllTasksArePlaced) {
  const auto platform = wire::parse_settings(testing::settings_json().dump());
  const auto types = testing::machine_types();
  std::map<std::string, JobRecord> jobs;
  Micros now = 1000 * kSecond;
  ShareController controller(
      platform, types, {}, [&](const std::string& id) { return &jobs.at(id); }, 1, now, now);
  constexpr int kMachines = 800, kTasks = 2500;  // capacity for 3,200 tasks
  for (int i = 0; i < kMachines; ++i) {
    MachineRecord m;
    m.id = "i-" + std::to_string(100000 + i), m.address = "127.0.0.1:9", m.type = "cpu8", m.zone = "z1";
    controller.on_machine_record(m, true, now);
  }
  controller.finish_loading(now);
  wire::WorkerReport r;
  r.address = "127.0.0.1:9", r.type = "cpu8", r.zone = "z1", r.session = 1, r.seq = 1;
  auto report_all = [&] {
    std::size_t launched = 0;
    for (int i = 0; i < kMachines; ++i) {
      r.machine = "i-" + std::to_string(100000 + i);
      launched += controller.on_report(r, now, place::StartRefusal::none)->orders.size();
    }
    ++r.seq;
    r.token = std::uint64_t{1} << place::kEpochShift;
    return launched;
  };
  report_all(), report_all();  // the second with this controller's token
  auto j = testing::job_json();
  j["pieces"] = kTasks;
  JobRecord record;
  record.spec = std::make_shared<JobSpec>(wire::job_from_json(j));
  jobs[record.spec->id] = record;
  controller.on_job_record(record.spec->id, record, false, now, 0);

  std::set<std::size_t> tasks_per_step;
  int passes = 1;
  std::size_t waiting = kTasks;
  while (controller.tick(now, place::StartRefusal::none)) {
    ASSERT_LT(++passes, 20);
    tasks_per_step.insert(waiting - controller.waiting_tasks());
    waiting = controller.waiting_tasks();
    now += 15 * kMillisecond;
  }
  EXPECT_GT(passes, 2);
  EXPECT_EQ(tasks_per_step.size(), 1U);  // all steps but the last place the same number
  EXPECT_LT(*tasks_per_step.begin(), kTasks / 2);
  EXPECT_EQ(controller.waiting_tasks(), 0U);
  EXPECT_EQ(report_all(), static_cast<std::size_t>(kTasks));
  EXPECT_FALSE(controller.tick(now, place::StartRefusal::none));
}

}  // namespace
}  // namespace aspenwick::share
