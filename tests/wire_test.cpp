// Messages of users, workers, the cloud and the state service: parsing, and writing in protocol form.
#include "wire/wire.h"

#include <gtest/gtest.h>

#include <random>

#include "fixtures.h"

namespace aspenwick::wire {
namespace {

TEST(Job, JsonRoundTripKeepsAllFields) {
  Json j = testing::job_json();
  j["rigtypes"] = {"cpu8"};
  j["site"] = "z1";
  j["dueS"] = 90.5;
  j["unknown"] = {{"x", 1}};
  const JobSpec s = parse_job(j.dump());
  EXPECT_EQ(s.id, "j-000412");
  EXPECT_EQ(s.need, (Resources{2'000'000, 0, 4'000'000}));
  EXPECT_EQ(*s.deadline, 90'500'000);
  const JobSpec t = job_from_json(job_to_json(s));
  EXPECT_EQ(job_to_json(t), job_to_json(s));
}

// Guards against tasks that fit a machine or a team's limit together by their rounded needs, and not by the
// exact ones: the worker refuses the last one, or the team is over its limit.
TEST(Job, NeedsAreRoundedUp) {
  auto j = testing::job_json();
  auto cpus = [&](double amount) {
    j["vcpus"] = amount;
    const JobSpec spec = job_from_json(j);
    EXPECT_EQ(job_from_json(job_to_json(spec)).need, spec.need);  // a record keeps what was accepted
    return spec.need.cpus;
  };
  EXPECT_GT(3 * cpus(5.3333334), to_millionths(16));
  EXPECT_GT(cpus(16.0000001), to_millionths(16));
  EXPECT_EQ(cpus(4e-7), 1);
  EXPECT_EQ(cpus(0), 0);
  for (int i = 1; i <= 2000; ++i) EXPECT_EQ(cpus(i / 10.0), i * 100'000LL);
  for (int i = 1; i <= 2000; ++i) EXPECT_EQ(cpus(i / 1e6), i);
}

TEST(Job, DependenciesAreAListOfJobIds) {
  Json j = testing::job_json();
  const Json without_dependencies = job_to_json(parse_job(j.dump()));
  for (const Json& empty : {Json(), Json::array()}) {
    j["waitsOn"] = empty;
    EXPECT_EQ(job_to_json(parse_job(j.dump())), without_dependencies);
  }
  j["waitsOn"] = {"j-2", "j-1", "j-2"};
  EXPECT_EQ(parse_job(j.dump()).dependencies, (std::vector<std::string>{"j-2", "j-1"}));
  EXPECT_EQ(job_from_json(job_to_json(parse_job(j.dump()))).dependencies,
            (std::vector<std::string>{"j-2", "j-1"}));
  for (const Json& bad :
       {Json("j-1"), Json(1), Json::object(), Json({"j-1", 2}), Json({"x-1"}), Json({""})}) {
    j["waitsOn"] = bad;
    try {
      parse_job(j.dump());
      ADD_FAILURE() << bad.dump();
    } catch (const Malformed& e) {
      EXPECT_EQ(e.job, "j-000412") << bad.dump();
    }
  }
  // Limited only by the size of the body.
  j["waitsOn"] = Json::array();
  for (int i = 0; i < 5000; ++i) j["waitsOn"].push_back("j-" + std::to_string(10'000 + i));
  EXPECT_EQ(parse_job(j.dump()).dependencies.size(), 5000U);
}

TEST(Job, InvalidFieldsAreRejectedByName) {
  const auto rejected_naming = [](const char* name, Json value) {
    Json j = testing::job_json();
    if (value.is_discarded())
      j.erase(name);
    else
      j[name] = std::move(value);
    try {
      parse_job(j.dump());
    } catch (const Malformed& e) {
      return std::string(e.what()).find(name) != std::string::npos;
    }
    return false;
  };
  for (const char* name :
       {"nameId", "jobclass", "owner", "shape", "rank", "pieces", "vcpus", "cards", "ramGb", "bundle",
        "sizeGb", "together", "spread", "loaner", "guessS", "snapshotEveryS", "snapshotS"}) {
    EXPECT_TRUE(rejected_naming(name, Json(Json::value_t::discarded))) << "missing " << name;
    EXPECT_TRUE(rejected_naming(name, Json::array())) << "wrong type " << name;
  }
  for (const char* name : {"vcpus", "cards", "ramGb", "sizeGb", "guessS"}) {
    EXPECT_TRUE(rejected_naming(name, -1));
    EXPECT_TRUE(rejected_naming(name, "1"));
  }
  for (const Json& pieces : {Json(0), Json(-1), Json(100'001), Json(1.5), Json(1e30)})
    EXPECT_TRUE(rejected_naming("pieces", pieces));
  for (const char* id : {"", "j-", "x-12", "j-12a", "j-1/2", "j-../../x"})
    EXPECT_TRUE(rejected_naming("nameId", id)) << id;
  for (const char* body : {"", "{", "[]", "null", "1", "{\"nameId\":", "\xff\xfe"})
    EXPECT_THROW(parse_job(body), Malformed);
  // A number too large for a double is rejected rather than read as infinity.
  std::string huge = testing::job_json().dump();
  huge.replace(huge.find("\"vcpus\":2.0"), 11, "\"vcpus\":1e999");
  EXPECT_THROW(parse_job(huge), Malformed);
  EXPECT_THROW(parse_job(std::string(kMaxJobBodyBytes + 1, ' ')), Malformed);
}

TEST(Report, AllFieldsAreParsed) {
  const auto r =
      parse_report(R"({"rig":"i-000231","endpoint":"10.1.0.232:9000","rigtype":"g8","site":"a","loaner":true,
     "stint":1,"tally":88,"baton":41,"warningS":7.5,"new":[],
     "pieces":[{"piece":"j-000412/3","try":2,"status":"flushing"},
              {"piece":"j-000398/0","try":18446744073709551615,"status":"ended","cause":"stopped","stored":true}]})");
  EXPECT_EQ(r.tasks[0].state, TaskState::saving);
  EXPECT_EQ(r.tasks[0].index, 3U);
  EXPECT_EQ(r.tasks[1].attempt, 18446744073709551615ULL);
  EXPECT_EQ(r.tasks[1].cause, ExitCause::stopped);
  EXPECT_TRUE(r.tasks[1].checkpoint_saved);
  EXPECT_EQ(*r.reclaim_notice, 7'500'000);
}

TEST(Orders, AreWrittenInProtocolForm) {
  const std::vector<Order> orders{{Order::Verb::launch, "j-1", 4, 2, 0},
                                  {Order::Verb::halt, "j-2", 1, 1, 10 * kSecond}};
  EXPECT_EQ(report_response(41, orders), R"({"baton":41,"orders":[{"piece":"j-1/4","try":2,"verb":"launch"},)"
                                         R"({"piece":"j-2/1","try":1,"verb":"halt","windDownS":10.0}]})");
}

// On any input, a parser returns or throws an exception; it never crashes.
TEST(Parsers, OnlyThrowOnDamagedInput) {
  const std::string valid[] = {
      testing::job_json().dump(),
      R"({"rig":"i-1","endpoint":"1.2.3.4:5","rigtype":"t","site":"a","loaner":true,"stint":1,"tally":8,"baton":4,"pieces":[{"piece":"j-1/0","try":1,"status":"ended","cause":"done"}]})",
      R"({"rows":[{"path":"a","value":{"x":1},"stamp":3}],"hasNext":false,"ledgerRev":9})",
      R"({"ledgerRev":433,"news":[{"set":"c/9","value":1,"stamp":433},{"delete":"c/d","stamp":432}]})",
      R"({"rigs":[{"nameId":"i-1","endpoint":"1.2.3.4:5","rigtype":"t","site":"a","loaner":true,"status":"booting","ageS":1.5}],"hasNext":false})"};
  std::mt19937 random(7);
  int parsed = 0, rejected = 0;
  for (int round = 0; round < 4000; ++round) {
    std::string s = valid[random() % std::size(valid)];
    for (int k = static_cast<int>(random() % 4); k > 0 && !s.empty(); --k) {
      const std::size_t at = random() % s.size();
      switch (random() % 4) {
        case 0:
          s[at] = static_cast<char>(random());
          break;
        case 1:
          s.erase(at, random() % 8 + 1);
          break;
        case 2:
          s.insert(at, s.substr(random() % s.size(), random() % 20));
          break;
        default:
          s.resize(at);
          break;
      }
    }
    for (int parser = 0; parser < 5; ++parser) try {
        switch (parser) {
          case 0:
            parse_job(s);
            break;
          case 1:
            parse_report(s);
            break;
          case 2:
            parse_row_page(s);
            break;
          case 3:
            parse_changes(s);
            break;
          default:
            parse_cloud_machine_page(s);
            break;
        }
        ++parsed;
      } catch (const std::exception&) {
        ++rejected;
      }
  }
  EXPECT_GT(parsed, 500);
  EXPECT_GT(rejected, 10000);
}

}  // namespace
}  // namespace aspenwick::wire
