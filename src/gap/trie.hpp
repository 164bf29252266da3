// A trie of patterns that finds all patterns matching a text in one walk along the text. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gap/pattern.hpp"

namespace quartzarch::gap {

class Trie {
 public:
  using Entry = std::uint32_t;

  Trie() : nodes_(1) {}

  void add(const Pattern& pattern, Entry entry);
  // Matches every text that begins with `text`.
  void add_prefix(std::string_view text, Entry entry);
  // Appends the entries of all matching patterns; an entry appears once for each of its patterns that match.
  void find(std::string_view text, std::vector<Entry>& found) const;
  std::size_t nodes() const { return nodes_.size(); }
  std::size_t bytes() const;

 private:
  struct Node {
    // Sorted by character; a vector because most nodes have few children.
    std::vector<std::pair<char, std::uint32_t>> next{};
    std::uint32_t any_char = 0;           // child for any character
    std::uint32_t any_digit = 0;          // child for any digit, for the free digits of a range
    std::vector<Entry> exact_entries{};   // patterns that end at this node
    std::vector<Entry> prefix_entries{};  // prefix patterns that end at this node
  };

  // The child of `from` for a character, for any character and for any digit; created if absent.
  std::uint32_t step(std::uint32_t from, char c);
  std::uint32_t step_any(std::uint32_t from);
  std::uint32_t step_digit(std::uint32_t from);
  void add_range(const std::string& lower, const std::string& upper, Entry entry);
  // Adds `entry` for any `digits` further digits after `from`.
  void add_open(std::uint32_t from, std::size_t digits, Entry entry);
  void walk(std::uint32_t node, std::string_view text, std::vector<Entry>& found) const;

  std::vector<Node> nodes_;
};

}  // namespace quartzarch::gap
