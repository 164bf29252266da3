#include "gap/trie.hpp"

#include <algorithm>

namespace quartzarch::gap {

std::uint32_t Trie::step(std::uint32_t from, char c) {
  auto& next = nodes_[from].next;
  const auto at = std::lower_bound(next.begin(), next.end(), c,
                                   [](const auto& item, char wanted) { return item.first < wanted; });
  if (at != next.end() && at->first == c) return at->second;
  const auto made = static_cast<std::uint32_t>(nodes_.size());
  next.insert(at, {c, made});
  nodes_.emplace_back();
  return made;
}

std::uint32_t Trie::step_any(std::uint32_t from) {
  if (nodes_[from].any_char == 0) {
    nodes_[from].any_char = static_cast<std::uint32_t>(nodes_.size());
    nodes_.emplace_back();
  }
  return nodes_[from].any_char;
}

std::uint32_t Trie::step_digit(std::uint32_t from) {
  if (nodes_[from].any_digit == 0) {
    nodes_[from].any_digit = static_cast<std::uint32_t>(nodes_.size());
    nodes_.emplace_back();
  }
  return nodes_[from].any_digit;
}

void Trie::add_prefix(std::string_view text, Entry entry) {
  std::uint32_t at = 0;
  for (const char c : text) at = step(at, c);
  nodes_[at].prefix_entries.push_back(entry);
}

void Trie::add(const Pattern& pattern, Entry entry) {
  switch (pattern.kind) {
    case Pattern::Kind::any:
    case Pattern::Kind::prefix:
      return add_prefix(pattern.text, entry);
    case Pattern::Kind::range:
      return add_range(pattern.text, pattern.upper, entry);
    case Pattern::Kind::exact:
    case Pattern::Kind::wildcard:
      break;
  }
  std::uint32_t at = 0;
  for (const char c : pattern.text)
    at = pattern.kind == Pattern::Kind::wildcard && c == '?' ? step_any(at) : step(at, c);
  nodes_[at].exact_entries.push_back(entry);
}

void Trie::add_open(std::uint32_t from, std::size_t digits, Entry entry) {
  for (std::size_t i = 0; i < digits; ++i) from = step_digit(from);
  nodes_[from].exact_entries.push_back(entry);
}

// Adds the common leading digits of both ends, then for each following digit the branches that lie wholly
// inside the range on either side: at most nine branches per digit and side, each with its remaining digits
// free.
void Trie::add_range(const std::string& lower, const std::string& upper, Entry entry) {
  const std::size_t size = lower.size();
  std::uint32_t at = 0;
  std::size_t same = 0;
  while (same < size && lower[same] == upper[same]) at = step(at, lower[same++]);
  if (same == size) {
    nodes_[at].exact_entries.push_back(entry);
    return;
  }
  for (char c = static_cast<char>(lower[same] + 1); c < upper[same]; ++c) {
    add_open(step(at, c), size - same - 1, entry);
  }
  std::uint32_t low = step(at, lower[same]), high = step(at, upper[same]);
  for (std::size_t i = same + 1; i < size; ++i) {
    for (char c = static_cast<char>(lower[i] + 1); c <= '9'; ++c) add_open(step(low, c), size - i - 1, entry);
    for (char c = '0'; c < upper[i]; ++c) add_open(step(high, c), size - i - 1, entry);
    low = step(low, lower[i]);
    high = step(high, upper[i]);
  }
  nodes_[low].exact_entries.push_back(entry);
  nodes_[high].exact_entries.push_back(entry);
}

void Trie::walk(std::uint32_t at, std::string_view text, std::vector<Entry>& found) const {
  for (;;) {
    const Node& node = nodes_[at];
    found.insert(found.end(), node.prefix_entries.begin(), node.prefix_entries.end());
    if (text.empty()) {
      found.insert(found.end(), node.exact_entries.begin(), node.exact_entries.end());
      return;
    }
    const char c = text.front();
    text.remove_prefix(1);
    if (node.any_char != 0) walk(node.any_char, text, found);
    if (node.any_digit != 0 && c >= '0' && c <= '9') walk(node.any_digit, text, found);
    const auto next = std::lower_bound(node.next.begin(), node.next.end(), c,
                                       [](const auto& item, char wanted) { return item.first < wanted; });
    if (next == node.next.end() || next->first != c) return;
    at = next->second;
  }
}

void Trie::find(std::string_view text, std::vector<Entry>& found) const { walk(0, text, found); }

std::size_t Trie::bytes() const {
  std::size_t sum = nodes_.capacity() * sizeof(Node);
  for (const Node& each : nodes_) {
    sum += each.next.capacity() * sizeof each.next[0] +
           (each.exact_entries.capacity() + each.prefix_entries.capacity()) * sizeof(Entry);
  }
  return sum;
}

}  // namespace quartzarch::gap
