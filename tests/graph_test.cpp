// The dependency graph of jobs at large depth and width. tests/traces/ has the tests of pipelines as users
// and machines see them.
#include "job/graph.h"

#include <gtest/gtest.h>

#include "fixtures.h"

namespace aspenwick::job {
namespace {

class GraphTest : public ::testing::Test {
 protected:
  void add_job(int id, const std::vector<int>& dependency_ids, wire::Rank rank = wire::Rank::low) {
    auto spec = std::make_shared<JobSpec>(wire::job_from_json(testing::job_json()));
    spec->id = job_id(id), spec->rank = rank;
    for (const int n : dependency_ids) spec->dependencies.push_back(job_id(n));
    JobRecord r;
    r.spec = spec, r.version = ++version_, r.submitted = kSecond;
    records_[job_id(id)] = r;
    graph_.update(job_id(id), r);
  }
  void set_status(int id, JobStatus status) {
    JobRecord& r = records_.at(job_id(id));
    r.status = status, r.version = ++version_, r.finished = status == JobStatus::done ? 9 * kSecond : 0;
    graph_.update(job_id(id), r);
  }
  static std::string job_id(int id) { return "j-" + std::to_string(id); }

  std::unordered_map<std::string, JobRecord> records_;
  std::uint64_t version_ = 0;
  DependencyGraph graph_{[this](const std::string& id) -> const JobRecord* {
    auto it = records_.find(id);
    return it == records_.end() ? nullptr : &it->second;
  }};
};

TEST_F(GraphTest, CancellationPropagatesThroughALongChain) {
  constexpr int kJobs = 50'000;  // deep enough for a recursion to overflow the stack
  add_job(0, {});
  for (int i = 1; i < kJobs; ++i) add_job(i, {i - 1});
  EXPECT_FALSE(graph_.has_cancelled_dependency(job_id(kJobs - 1)));
  set_status(0, JobStatus::cancelled);
  EXPECT_TRUE(graph_.has_cancelled_dependency(job_id(1)));
  EXPECT_TRUE(graph_.has_cancelled_dependency(job_id(kJobs - 1)));
  EXPECT_EQ(graph_.to_cancel().size(), kJobs - 1U);
}

TEST_F(GraphTest, CompletionMakesAllDirectDependentsReady) {
  constexpr int kJobs = 20'000;
  add_job(0, {});
  for (int i = 1; i < kJobs; ++i) add_job(i, {0}, i == 7 ? wire::Rank::high : wire::Rank::low);
  EXPECT_EQ(graph_.scheduling_goals(job_id(0), records_.at(job_id(0))).rank, wire::Rank::high);
  std::vector<int> predecessors;
  for (int i = 1; i < kJobs; ++i) predecessors.push_back(i);
  add_job(kJobs, predecessors, wire::Rank::production);
  EXPECT_EQ(graph_.scheduling_goals(job_id(5), records_.at(job_id(5))).rank, wire::Rank::production);
  graph_.take_changed();
  set_status(0, JobStatus::done);
  EXPECT_EQ(graph_.take_changed().size(), kJobs - 1U);
  EXPECT_TRUE(graph_.is_ready(job_id(1)));
  EXPECT_FALSE(graph_.is_ready(job_id(kJobs)));
  EXPECT_EQ(graph_.ready_version(job_id(1)), records_.at(job_id(0)).version);
}

TEST_F(GraphTest, DependenciesSharedByManyPathsAreCountedOnce) {
  add_job(0, {});
  for (int layer = 0; layer < 60; ++layer) {  // 2^60 paths
    const int last = 3 * layer;
    add_job(last + 1, {last});
    add_job(last + 2, {last});
    add_job(last + 3, {last + 1, last + 2}, layer == 59 ? wire::Rank::high : wire::Rank::low);
  }
  EXPECT_EQ(graph_.scheduling_goals(job_id(0), records_.at(job_id(0))).rank, wire::Rank::high);
  graph_.recompute_finish_times();
  set_status(180, JobStatus::cancelled);
  EXPECT_EQ(graph_.scheduling_goals(job_id(0), records_.at(job_id(0))).rank, wire::Rank::low);
  for (int i = 0; i < 180; ++i) {
    EXPECT_TRUE(graph_.is_ready(job_id(i)));
    set_status(i, JobStatus::done);
  }
  EXPECT_TRUE(graph_.to_cancel().empty());
}

TEST_F(GraphTest, RepeatedRecordsChangeNothing) {
  add_job(0, {});
  add_job(1, {0});
  add_job(2, {0, 1});
  set_status(0, JobStatus::done);
  for (int i = 0; i < 3; ++i) {
    graph_.update(job_id(0), records_.at(job_id(0)));
    graph_.update(job_id(1), records_.at(job_id(1)));
  }
  EXPECT_FALSE(graph_.is_ready(job_id(2)));
  set_status(1, JobStatus::done);
  EXPECT_TRUE(graph_.is_ready(job_id(2)));
}

}  // namespace
}  // namespace aspenwick::job
