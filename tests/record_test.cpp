// Job records, their sets of finished tasks, and the check for jobs that can never run.
#include "job/record.h"

#include <gtest/gtest.h>

#include "fixtures.h"

namespace aspenwick::job {
namespace {

TEST(DoneSet, ChunksOfALargeJobFitSmallValues) {
  DoneSet original(wire::kMaxTasks), restored(wire::kMaxTasks);
  for (std::uint32_t i = 0; i < wire::kMaxTasks; i += 3) original.set(i);
  for (std::uint32_t c = 0; c < original.chunks(); ++c) {
    const auto text = original.chunk_text(c);
    EXPECT_LE(text.size(), 4096U);
    restored.merge_chunk(c, text);
  }
  EXPECT_EQ(restored.count(), original.count());
  EXPECT_TRUE(restored.test(99'999));
  EXPECT_FALSE(restored.test(99'998));
}

TEST(DoneSet, IgnoresBitsBeyondTheLastTask) {
  DoneSet d(5);
  d.merge_chunk(0, "ffffffff");
  EXPECT_EQ(d.count(), 5U);
  d.merge_chunk(7, "ffff");
  EXPECT_EQ(d.count(), 5U);
  EXPECT_FALSE(d.test(6));
}

TEST(Record, OnlyTheStatusOfACompletedJobIsStored) {
  JobRecord r;
  r.spec = std::make_shared<wire::JobSpec>(wire::job_from_json(testing::job_json()));
  r.submitted = 5;
  EXPECT_EQ(record_from_json(record_to_json(r), 3).spec->id, "j-000412");
  r.status = JobStatus::cancelled;
  // The tasks of a cancelled job count against the team's limit until they have ended.
  EXPECT_EQ(record_from_json(record_to_json(r), 4).spec->team, "red");
  EXPECT_EQ(record_from_json(record_to_json(r), 4).status, JobStatus::cancelled);
  r.status = JobStatus::done;
  EXPECT_FALSE(record_to_json(r).contains("spec"));
  EXPECT_TRUE(record_from_json(record_to_json(r), 5).final());
}

TEST(UnschedulableReason, IsGivenForJobsThatCanNeverRun) {
  const auto settings = wire::parse_settings(testing::settings_json().dump());
  const auto types = testing::machine_types();
  auto spec = wire::job_from_json(testing::job_json());
  EXPECT_EQ(unschedulable_reason(spec, types, settings.teams), "");
  auto other = spec;
  other.team = "nobody";
  EXPECT_EQ(unschedulable_reason(other, types, settings.teams), "unknown team");
  other = spec;
  other.need.gpus = wire::to_millionths(1);
  other.zone = "z2";  // where the only type with GPUs is not offered
  EXPECT_NE(unschedulable_reason(other, types, settings.teams), "");
  other.zone = "z1";
  EXPECT_EQ(unschedulable_reason(other, types, settings.teams), "");
  other = spec;
  other.team = "tight";  // 8 CPUs at most
  other.tasks = 100;
  EXPECT_EQ(unschedulable_reason(other, types, settings.teams), "");  // array: only one task must fit
  other.shape = wire::Shape::gang;
  EXPECT_NE(unschedulable_reason(other, types, settings.teams), "");
}

}  // namespace
}  // namespace aspenwick::job
