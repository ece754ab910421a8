// Long and wide graphs of jobs; what users and machines see of pipelines is in tests/traces/.
#include "job/graph.h"

#include <gtest/gtest.h>

#include "fixtures.h"

namespace aspenwick::job {
namespace {

class GraphTest : public ::testing::Test {
 protected:
  void accept(int id, const std::vector<int>& needs, wire::Rank rank = wire::Rank::low) {
    auto spec = std::make_shared<JobSpec>(wire::job_from_json(testing::job_json()));
    spec->id = name(id), spec->rank = rank;
    for (const int n : needs) spec->dependencies.push_back(name(n));
    JobRecord r;
    r.spec = spec, r.version = ++version_, r.submitted = kSecond;
    records_[name(id)] = r;
    graph_.update(name(id), r);
  }
  void end(int id, JobStatus status) {
    JobRecord& r = records_.at(name(id));
    r.status = status, r.version = ++version_, r.finished = status == JobStatus::done ? 9 * kSecond : 0;
    graph_.update(name(id), r);
  }
  static std::string name(int id) { return "j-" + std::to_string(id); }

  std::unordered_map<std::string, JobRecord> records_;
  std::uint64_t version_ = 0;
  DependencyGraph graph_{[this](const std::string& id) -> const JobRecord* {
    auto it = records_.find(id);
    return it == records_.end() ? nullptr : &it->second;
  }};
};

TEST_F(GraphTest, AChainAsLongAsYouLikeIsWithdrawnWhole) {
  constexpr int kJobs = 50'000;  // deep enough to end a recursion
  accept(0, {});
  for (int i = 1; i < kJobs; ++i) accept(i, {i - 1});
  EXPECT_FALSE(graph_.has_cancelled_dependency(name(kJobs - 1)));
  end(0, JobStatus::cancelled);
  EXPECT_TRUE(graph_.has_cancelled_dependency(name(1)));
  EXPECT_TRUE(graph_.has_cancelled_dependency(name(kJobs - 1)));
  EXPECT_EQ(graph_.to_cancel().size(), kJobs - 1U);
}

TEST_F(GraphTest, AWideFanOpensAtOnce) {
  constexpr int kJobs = 20'000;
  accept(0, {});
  for (int i = 1; i < kJobs; ++i) accept(i, {0}, i == 7 ? wire::Rank::high : wire::Rank::low);
  EXPECT_EQ(graph_.scheduling_goals(name(0), records_.at(name(0))).rank, wire::Rank::high);
  std::vector<int> all;
  for (int i = 1; i < kJobs; ++i) all.push_back(i);
  accept(kJobs, all, wire::Rank::production);
  EXPECT_EQ(graph_.scheduling_goals(name(5), records_.at(name(5))).rank, wire::Rank::production);
  graph_.take_changed();
  end(0, JobStatus::done);
  EXPECT_EQ(graph_.take_changed().size(), kJobs - 1U);
  EXPECT_TRUE(graph_.is_ready(name(1)));
  EXPECT_FALSE(graph_.is_ready(name(kJobs)));
  EXPECT_EQ(graph_.ready_version(name(1)), records_.at(name(0)).version);
}

TEST_F(GraphTest, NamedTwiceInDiamondsItIsCountedOnce) {
  accept(0, {});
  for (int layer = 0; layer < 60; ++layer) {  // 2^60 ways through
    const int last = 3 * layer;
    accept(last + 1, {last});
    accept(last + 2, {last});
    accept(last + 3, {last + 1, last + 2}, layer == 59 ? wire::Rank::high : wire::Rank::low);
  }
  EXPECT_EQ(graph_.scheduling_goals(name(0), records_.at(name(0))).rank, wire::Rank::high);
  graph_.recompute_finish_times();
  end(180, JobStatus::cancelled);
  EXPECT_EQ(graph_.scheduling_goals(name(0), records_.at(name(0))).rank, wire::Rank::low);
  for (int i = 0; i < 180; ++i) {
    EXPECT_TRUE(graph_.is_ready(name(i)));
    end(i, JobStatus::done);
  }
  EXPECT_TRUE(graph_.to_cancel().empty());
}

TEST_F(GraphTest, SeenAgainARecordChangesNothing) {
  accept(0, {});
  accept(1, {0});
  accept(2, {0, 1});
  end(0, JobStatus::done);
  for (int i = 0; i < 3; ++i) {
    graph_.update(name(0), records_.at(name(0)));
    graph_.update(name(1), records_.at(name(1)));
  }
  EXPECT_FALSE(graph_.is_ready(name(2)));
  end(1, JobStatus::done);
  EXPECT_TRUE(graph_.is_ready(name(2)));
}

}  // namespace
}  // namespace aspenwick::job
