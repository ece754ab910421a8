#include "place/rnn.h"

#include <algorithm>
#include <cmath>

namespace aspenwick::place {
namespace {
constexpr double kInput = 0.25;  // external excitation of each neuron
constexpr double kRowSum = 1.0;  // r(i), kept by renormalisation
constexpr double kStart = 0.5;   // q of every neuron before any reward
constexpr double kSettled = 1e-9;
constexpr double kSame = 1e-10;  // classes whose weights, summed up, differ by less are one
constexpr double kTie = 1e-9;    // of two q

/// Four sums at a time: one sum would wait for each addition.
double weighed(const std::vector<double>& q, const double* w) {
  double a = 0, b = 0, c = 0, d = 0;
  std::size_t j = 0;
  for (; j + 4 <= q.size(); j += 4)
    a += q[j] * w[j], b += q[j + 1] * w[j + 1], c += q[j + 2] * w[j + 2], d += q[j + 3] * w[j + 3];
  for (; j < q.size(); ++j) a += q[j] * w[j];
  return a + b + (c + d);
}
}  // namespace

void Rnn::Matrix::grow(std::size_t least) {
  if (least <= side) return;
  const std::size_t wider = std::max(least, side + side / 2 + 4);
  std::vector<double> to(wider * wider, 0.0);
  for (std::size_t r = 0; r < side; ++r)
    std::copy_n(cells.begin() + static_cast<std::ptrdiff_t>(r * side), side,
                to.begin() + static_cast<std::ptrdiff_t>(r * wider));
  cells = std::move(to), side = wider;
}

double Rnn::weight(const Matrix& w, Neuron from, Neuron to) const {
  return from == to ? 0 : w.into(slots_[to].in)[slots_[from].in];  // none to itself
}

// ---------------------------------------------------------------- classes

std::size_t Rnn::add_class() {
  classes_.push_back({{}, events_, kStart});
  plus_.grow(classes_.size());
  minus_.grow(classes_.size());
  return classes_.size() - 1;
}

/// An empty one; the last takes its number.
void Rnn::remove_class(std::size_t c) {
  const std::size_t last = classes_.size() - 1;
  if (newcomers_ == c + 1) newcomers_ = 0;
  if (c != last) {
    for (Matrix* w : {&plus_, &minus_}) {
      std::copy_n(w->into(last), classes_.size(), w->into(c));
      for (std::size_t to = 0; to < classes_.size(); ++to) w->into(to)[c] = w->into(to)[last];
    }
    classes_[c] = std::move(classes_[last]);
    for (const Neuron n : classes_[c].members) slots_[n].in = c;
    if (newcomers_ == last + 1) newcomers_ = c + 1;
  }
  classes_.pop_back();
}

void Rnn::put(Neuron n, std::size_t c) {
  slots_[n].in = c;
  slots_[n].place = classes_[c].members.size();
  classes_[c].members.push_back(n);
}

void Rnn::take(Neuron n) {
  auto& members = classes_[slots_[n].in].members;
  const Neuron moved = members.back();
  members[slots_[n].place] = moved;
  slots_[moved].place = slots_[n].place;
  members.pop_back();
}

/// A machine that a lesson is about is a class of its own from then on.
std::size_t Rnn::set_apart(Neuron n) {
  const std::size_t c = slots_[n].in;
  if (classes_[c].members.size() == 1) {
    classes_[c].since = events_;
    return c;
  }
  const std::size_t own = add_class();
  for (Matrix* w : {&plus_, &minus_}) {
    for (std::size_t k = 0; k < own; ++k) {
      w->into(own)[k] = w->into(c)[k];
      w->into(k)[own] = w->into(k)[c];
    }
    w->into(own)[own] = 0;
  }
  classes_[own].q = classes_[c].q;
  take(n);
  put(n, own);
  return own;
}

/// What tells two classes apart: all that leads into a member and all that leads out of it.
double Rnn::difference(std::size_t a, std::size_t b) const {
  double sum = 0;
  for (const Matrix* w : {&plus_, &minus_}) {
    for (std::size_t k = 0; k < classes_.size(); ++k)
      if (k != a && k != b)
        sum += count(k) * (std::abs(w->into(a)[k] - w->into(b)[k]) + std::abs(w->into(k)[a] - w->into(k)[b]));
    const double between = w->into(a)[b], back = w->into(b)[a];
    const double most = std::max(count(a), count(b));
    sum += most * std::abs(between - back);
    if (count(a) > 1) sum += most * std::abs(w->into(a)[a] - between);
    if (count(b) > 1) sum += most * std::abs(w->into(b)[b] - between);
  }
  return sum;
}

/// Both become a; the means keep every row's sum.
void Rnn::merge(std::size_t a, std::size_t b) {
  const double na = count(a), nb = count(b), n = na + nb;
  for (Matrix* w : {&plus_, &minus_}) {
    const double within = (na * (na - 1) * w->into(a)[a] + na * nb * (w->into(a)[b] + w->into(b)[a]) +
                           nb * (nb - 1) * w->into(b)[b]) /
                          (n * (n - 1));
    for (std::size_t k = 0; k < classes_.size(); ++k) {
      if (k == a || k == b) continue;
      w->into(a)[k] = (na * w->into(a)[k] + nb * w->into(b)[k]) / n;
      w->into(k)[a] = (na * w->into(k)[a] + nb * w->into(k)[b]) / n;
    }
    w->into(a)[a] = within;
  }
  classes_[a].q = (na * classes_[a].q + nb * classes_[b].q) / n;
  classes_[a].since = std::min(classes_[a].since, classes_[b].since);
  if (newcomers_ == a + 1 || newcomers_ == b + 1) newcomers_ = 0;
  if (nb > na) {  // the fewer change their class's number
    std::swap(classes_[a].members, classes_[b].members);
    for (std::size_t i = 0; i < classes_[a].members.size(); ++i) slots_[classes_[a].members[i]].in = a;
  }
  for (const Neuron m : classes_[b].members) put(m, a);
  classes_[b].members.clear();
  remove_class(b);
}

/// The two oldest classes are one again when nothing is left that tells them apart. Two at a time: each
/// lesson makes one at most.
void Rnn::merge_faded() {
  for (int i = 0; i < 2 && classes_.size() > 1; ++i) {
    std::size_t a = 0, b = 1;
    if (classes_[b].since < classes_[a].since) std::swap(a, b);
    for (std::size_t c = 2; c < classes_.size(); ++c) {
      if (classes_[c].since < classes_[a].since)
        b = a, a = c;
      else if (classes_[c].since < classes_[b].since)
        b = c;
    }
    const double apart = difference(a, b);
    if (apart >= kSame && classes_.size() <= kMostClasses) return;
    drift_ += apart;
    merge(a, b);
  }
}

// ---------------------------------------------------------------- joining and leaving

Rnn::Neuron Rnn::join(const std::string& machine) {
  Neuron n = static_cast<Neuron>(slots_.size());
  if (unused_.empty()) {
    slots_.emplace_back();
  } else {
    n = unused_.back();
    unused_.pop_back();
  }
  slots_[n].machine = machine;
  const auto all = static_cast<double>(++size_);
  // Each row gives the newcomer the 1/(2(N-1)) of a fresh network and keeps what it knew in proportion.
  const double start = size_ > 1 ? 1.0 / (2.0 * (all - 1)) : 0;
  const double keep = size_ > 2 ? (all - 2) / (all - 1) : 0;
  for (Matrix* w : {&plus_, &minus_})
    for (std::size_t to = 0; to < classes_.size(); ++to)
      for (std::size_t from = 0; from < classes_.size(); ++from) w->into(to)[from] *= keep;
  // Newcomers are alike until the next lesson: the share that keeps the older one's entries in proportion
  // leaves just what the younger one starts with. In a network that was taught nothing all are.
  if (!taught_ && !classes_.empty()) newcomers_ = 1;
  if (newcomers_ == 0) newcomers_ = add_class() + 1;
  const std::size_t c = newcomers_ - 1;
  for (Matrix* w : {&plus_, &minus_})
    for (std::size_t k = 0; k < classes_.size(); ++k) w->into(c)[k] = w->into(k)[c] = start;
  put(n, c);
  if (classes_.size() > kMostClasses) merge_faded();
  return n;
}

void Rnn::leave(Neuron n) {
  const std::size_t c = slots_[n].in;
  take(n);
  if (classes_[c].members.empty()) remove_class(c);
  slots_[n].machine.clear();
  unused_.push_back(n);
  if (--size_ == 0) taught_ = false, drift_ = 0;
  if (taught_) newcomers_ = 0;  // the next one's entries start from other sums
  ++events_;
  renormalise();
}

// ---------------------------------------------------------------- learning

void Rnn::learn(Neuron n, double goal) {
  if (!(goal > 0) || !std::isfinite(goal)) return;
  const double reward = 1.0 / goal;
  threshold_ = settings_.memory * threshold_ + (1 - settings_.memory) * reward;
  if (size_ < 3) return;  // nothing to choose by q, and N-2 would be zero
  const bool good = reward >= threshold_;
  Matrix& into_this = good ? plus_ : minus_;
  Matrix& into_others = good ? minus_ : plus_;
  const double rest = reward / static_cast<double>(size_ - 2);
  ++events_;
  taught_ = true;
  newcomers_ = 0;
  const std::size_t c = set_apart(n);
  for (std::size_t to = 0; to < classes_.size(); ++to) {
    double* w = to == c ? into_this.into(to) : into_others.into(to);
    const double more = to == c ? reward : rest;
    for (std::size_t from = 0; from < classes_.size(); ++from) w[from] += more;
  }
  renormalise();
  merge_faded();
  stale_ = true;
}

void Rnn::renormalise() {
  const std::size_t m = classes_.size();
  std::vector<double> scale(m, 0.0);
  for (std::size_t to = 0; to < m; ++to)
    for (std::size_t from = 0; from < m; ++from)
      scale[from] += (count(to) - (to == from ? 1 : 0)) * (plus_.into(to)[from] + minus_.into(to)[from]);
  double most = 0;
  for (double& s : scale) s = s > 0 ? kRowSum / s : 1, most = std::max(most, s);
  drift_ *= most;
  for (std::size_t to = 0; to < m; ++to)
    for (Matrix* w : {&plus_, &minus_})
      for (std::size_t from = 0; from < m; ++from) w->into(to)[from] *= scale[from];
}

// ---------------------------------------------------------------- choosing

void Rnn::solve() const {
  if (!stale_) return;
  stale_ = false;
  const std::size_t m = classes_.size();
  std::vector<double> excited(m);  // all members together
  for (std::size_t c = 0; c < m; ++c) excited[c] = count(c) * classes_[c].q;
  for (int sweep = 0; sweep < settings_.sweeps; ++sweep) {
    double moved = 0;
    for (std::size_t c = 0; c < m; ++c) {
      const double *up = plus_.into(c), *down = minus_.into(c);
      const double old = classes_[c].q;  // a member has no weight to itself
      const double q = std::min(1.0, (kInput + weighed(excited, up) - old * up[c]) /
                                         (kRowSum + weighed(excited, down) - old * down[c]));
      moved = std::max(moved, std::abs(q - old));
      classes_[c].q = q;
      excited[c] = count(c) * q;
    }
    if (moved < kSettled) return;
  }
}

double Rnn::q(Neuron n) const {
  if (size_ < 3) return kStart;
  solve();
  return classes_[slots_[n].in].q;
}

std::size_t Rnn::choose(std::span<const Neuron> candidates) {
  turn_credit_ += settings_.round_robin;
  if (size_ < 3 || turn_credit_ >= 1 - 1e-9) {
    if (size_ >= 3) turn_credit_ -= 1;
    // The next candidate after the last one served in turn, in name order.
    const auto name = [&](std::size_t c) -> const std::string& { return slots_[candidates[c]].machine; };
    std::size_t next = candidates.size(), first = 0;
    for (std::size_t c = 0; c < candidates.size(); ++c) {
      if (name(c) < name(first)) first = c;
      if (name(c) > last_in_turn_ && (next == candidates.size() || name(c) < name(next))) next = c;
    }
    if (next == candidates.size()) next = first;
    last_in_turn_ = name(next);
    return next;
  }
  solve();
  std::size_t best = 0;
  double highest = classes_[slots_[candidates[0]].in].q;
  for (std::size_t c = 1; c < candidates.size(); ++c)
    if (const double value = classes_[slots_[candidates[c]].in].q; value > highest + kTie)
      best = c, highest = value;
  return best;
}

}  // namespace aspenwick::place
