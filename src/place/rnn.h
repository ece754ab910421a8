// The random neural network of the TAP paper (section 5) over the machines of one share.
#pragma once
#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace aspenwick::place {

struct RnnSettings {
  double memory = 0.8;        // a: weight of the past in the threshold T
  double round_robin = 0.10;  // share of decisions made in turn
  int sweeps = 10;            // at most, of the fixed-point iteration for q
  bool normalise = true;      // G is run time over the job's mean; else the plain run time in seconds
};

class Rnn {
 public:
  explicit Rnn(RnnSettings settings = {}) : settings_(settings) {}

  /// Joining and leaving keep what was learnt of the other machines.
  void join(const std::string& machine);
  void leave(const std::string& machine);

  /// A finished task's goal (smaller is better) at a machine; unknown machines are ignored.
  void learn(const std::string& machine, double goal);

  std::size_t size() const { return machines_.size(); }
  double q(const std::string& machine) const;
  double threshold() const { return threshold_; }
  double excitatory(std::size_t from, std::size_t to) const { return plus_[to][from]; }
  double inhibitory(std::size_t from, std::size_t to) const { return minus_[to][from]; }

  /// Picks one of the candidates (non-empty): the highest q, or in turn for the round-robin slice and for
  /// shares under three machines. Candidates' order breaks ties.
  std::size_t choose(const std::vector<std::string>& candidates);

 private:
  // Weights are kept by the neuron that they lead into, [to][from]: q sums over these, and with several
  // hundred machines in one share everything else is cheap beside that.
  using Matrix = std::vector<std::vector<double>>;
  std::size_t index_of(const std::string& machine) const;
  void renormalise();
  void solve() const;

  RnnSettings settings_;
  std::vector<std::string> machines_;
  std::unordered_map<std::string, std::size_t> index_;
  Matrix plus_, minus_;
  mutable std::vector<double> q_;
  mutable bool stale_ = false;  // learnt since q was solved; solved again when a choice needs it
  double threshold_ = 1.0;
  double turn_credit_ = 0;
  std::string last_in_turn_;
};

}  // namespace aspenwick::place
