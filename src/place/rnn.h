// The random neural network of the TAP paper (section 5) over the machines of one share.
//
// Kept by classes of machines that the equations cannot tell apart: those that no lesson has been about, or
// about which the lessons have faded (every lesson rescales all rows and leaves a third of what they held).
// Within a class all weights, and so all q, are the same; a network of thousands of machines is one of some
// thirty classes. docs/design/learner-at-size.md has the ways weighed and why this one is exact.
#pragma once
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace aspenwick::place {

struct RnnSettings {
  double past_weight = 0.8;            // a: weight of the past in the threshold T
  double round_robin_fraction = 0.10;  // share of decisions made in turn
  int max_sweeps = 30;                 // at most, of the fixed-point iteration for q
  bool relative_goals = true;  // G is run time over the job's mean; else the plain run time in seconds
};

class Rnn {
 public:
  /// A machine's neuron, from its joining to its leaving; small numbers, used again.
  using Neuron = std::uint32_t;
  /// More classes than this are not kept: the two that the fewest lessons tell apart are taken for one, and
  /// what they differ by is added to drift().
  static constexpr std::size_t kMaxClasses = 96;

  explicit Rnn(RnnSettings settings = {}) : settings_(settings) {}

  /// Joining and leaving keep what was learnt of the other machines. O(classes squared).
  Neuron add_machine(const std::string& machine);
  void remove_machine(Neuron n);

  /// A finished task's goal (smaller is better) at a machine; goals that are not positive are ignored.
  /// O(classes squared), however many machines there are.
  void learn(Neuron n, double goal);

  std::size_t size() const { return size_; }
  std::size_t classes() const { return classes_.size(); }
  double q(Neuron n) const;
  double threshold() const { return threshold_; }
  double excitatory(Neuron from, Neuron to) const { return weight(excitatory_, from, to); }
  double inhibitory(Neuron from, Neuron to) const { return weight(inhibitory_, from, to); }
  /// At most how far a row's weights, summed up, are from those of the equations.
  double merge_error() const { return merge_error_; }

  /// Picks one of the candidates (non-empty), an index into them: the highest q, or in turn for the
  /// round-robin slice and for shares under three machines. Candidates' order breaks ties.
  std::size_t choose(std::span<const Neuron> candidates);

 private:
  struct NeuronSlot {
    std::string machine;
    std::size_t class_index = 0;   // its class
    std::size_t member_index = 0;  // among the class's members
  };
  struct NeuronClass {
    std::vector<Neuron> members;
    std::uint64_t separated_at =
        0;  // the last event that set it apart; the oldest hold the least of their own
    double q = 0;
  };
  /// Weights by the class that they lead into, [to][from]: q sums over these.
  struct Matrix {
    std::size_t capacity = 0;
    std::vector<double> values;
    double* incoming(std::size_t to) { return values.data() + to * capacity; }
    const double* incoming(std::size_t to) const { return values.data() + to * capacity; }
    void reserve(std::size_t classes_needed);
  };
  double weight(const Matrix& w, Neuron from, Neuron to) const;
  double count(std::size_t c) const { return static_cast<double>(classes_[c].members.size()); }
  std::size_t add_class();
  void remove_class(std::size_t c);
  void add_member(Neuron n, std::size_t c);
  void remove_member(Neuron n);
  std::size_t separate(Neuron n);
  void renormalise();
  double difference(std::size_t a, std::size_t b) const;
  void merge(std::size_t a, std::size_t b);
  void merge_oldest_classes();
  void solve() const;

  RnnSettings settings_;
  std::vector<NeuronSlot> slots_;
  std::vector<Neuron> free_neurons_;
  std::size_t size_ = 0;
  mutable std::vector<NeuronClass> classes_;  // mutable: q
  Matrix excitatory_, inhibitory_;
  std::size_t newcomer_class_plus_one_ =
      0;  // class of those that joined since the last lesson or leaving, plus one
  std::uint64_t event_count_ = 0;
  bool trained_ = false;
  mutable bool q_stale_ = false;  // learnt since q was solved; solved again when a choice needs it
  double threshold_ = 1.0;
  double merge_error_ = 0;
  double round_robin_credit_ = 0;
  std::string last_round_robin_machine_;
};

}  // namespace aspenwick::place
