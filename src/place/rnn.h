// The random neural network of the TAP paper (section 5), with one neuron for each machine of a share. It
// learns from the run times of finished tasks which machine to prefer.
//
// Weights are stored by classes of machines that the equations cannot tell apart: machines that no reward was
// for, or whose rewards have faded (each reward rescales all rows and leaves a third of what they held).
// Within a class all weights, and so all q, are equal; a network of thousands of machines has about thirty
// classes. docs/design/learner-at-size.md compares the alternatives and shows that this one is exact.
#pragma once
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace aspenwick::place {

/// Settings `learner.*` of the operator.
struct RnnSettings {
  double past_weight = 0.8;            // a: weight of the past in the threshold T
  double round_robin_fraction = 0.10;  // fraction of choices made in turn, not by q
  int max_sweeps = 30;                 // iterations of the fixed-point solver for q
  bool relative_goals = true;          // goal G is run time over the job's mean; else run time in seconds
};

/// Keeps one neuron for each machine of a share and chooses machines by their q.
class Rnn {
 public:
  /// Identifies a machine's neuron until the machine is removed. Numbers are small and reused.
  using Neuron = std::uint32_t;
  /// Beyond this number, the two classes that were separated longest ago are merged although they differ, and
  /// the difference is added to merge_error().
  static constexpr std::size_t kMaxClasses = 96;

  explicit Rnn(RnnSettings settings = {}) : settings_(settings) {}

  /// Adding and removing a machine keeps what was learnt about the others. O(classes squared).
  Neuron add_machine(const std::string& machine);
  void remove_machine(Neuron n);

  /// Learns from the goal (smaller is better) that a finished task reached on a machine. Goals that are not
  /// positive and finite are ignored. O(classes squared), independent of the number of machines.
  void learn(Neuron n, double goal);

  std::size_t size() const { return size_; }
  std::size_t classes() const { return classes_.size(); }
  /// Probability that the machine's neuron is excited; higher is better.
  double q(Neuron n) const;
  double threshold() const { return threshold_; }
  double excitatory(Neuron from, Neuron to) const { return weight(excitatory_, from, to); }
  double inhibitory(Neuron from, Neuron to) const { return weight(inhibitory_, from, to); }
  /// Upper bound of the summed difference between a row's weights and those of the unmerged equations.
  double merge_error() const { return merge_error_; }

  /// Returns the index of the chosen candidate (there must be one): the one with the highest q, with ties
  /// broken by their order; or the next in turn, for the round-robin fraction and in networks of fewer than
  /// three machines.
  std::size_t choose(std::span<const Neuron> candidates);

 private:
  struct NeuronSlot {
    std::string machine;
    std::size_t class_index = 0;
    std::size_t member_index = 0;  // within the class's members
  };
  struct NeuronClass {
    std::vector<Neuron> members;
    /// event_count_ when it was last separated. The classes with the lowest have faded the most.
    std::uint64_t separated_at = 0;
    double q = 0;
  };
  /// Weights between classes, stored as [to][from], since q sums over incoming weights.
  struct Matrix {
    std::size_t capacity = 0;
    std::vector<double> values;
    double* incoming(std::size_t to) { return values.data() + to * capacity; }
    const double* incoming(std::size_t to) const { return values.data() + to * capacity; }
    void reserve(std::size_t classes_needed);
  };
  double weight(const Matrix& w, Neuron from, Neuron to) const;
  double member_count(std::size_t c) const { return static_cast<double>(classes_[c].members.size()); }
  std::size_t add_class();
  void remove_class(std::size_t c);
  void add_member(Neuron n, std::size_t c);
  void remove_member(Neuron n);
  /// Gives the neuron a class of its own and returns that class.
  std::size_t separate(Neuron n);
  void renormalise();
  /// Sum of the differences between the weights of the members of two classes.
  double difference(std::size_t a, std::size_t b) const;
  /// Merges class b into class a.
  void merge(std::size_t a, std::size_t b);
  void merge_oldest_classes();
  /// Solves q if a reward was learnt since the last time.
  void solve() const;

  RnnSettings settings_;
  std::vector<NeuronSlot> slots_;
  std::vector<Neuron> free_neurons_;
  std::size_t size_ = 0;
  mutable std::vector<NeuronClass> classes_;  // mutable for q, which is solved lazily
  Matrix excitatory_, inhibitory_;
  /// The class of the machines added since the last reward or removal, plus one; 0: none.
  std::size_t newcomer_class_plus_one_ = 0;
  std::uint64_t event_count_ = 0;  // rewards and removals
  bool trained_ = false;           // a reward was learnt since the network was last empty
  mutable bool q_stale_ = false;   // a reward was learnt since q was solved; solved again when needed
  double threshold_ = 1.0;
  double merge_error_ = 0;
  double round_robin_credit_ = 0;
  std::string last_round_robin_machine_;
};

}  // namespace aspenwick::place
