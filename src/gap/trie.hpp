// An index of patterns over texts: which of them match a given text, in the time of a walk along it. No I/O.
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
  // Every text that begins with `text`.
  void add_prefix(std::string_view text, Entry entry);
  // Appends the entries of the patterns that match; one may come twice if several of its patterns do.
  void find(std::string_view text, std::vector<Entry>& found) const;
  std::size_t nodes() const { return nodes_.size(); }
  std::size_t bytes() const;

 private:
  struct Node {
    // Sorted by character; few have more than a handful.
    std::vector<std::pair<char, std::uint32_t>> next{};
    std::uint32_t any_char = 0;           // by any character
    std::uint32_t any_digit = 0;          // by any digit: what a range leaves open
    std::vector<Entry> exact_entries{};   // patterns that end here
    std::vector<Entry> prefix_entries{};  // prefixes
  };

  std::uint32_t step(std::uint32_t from, char c);
  std::uint32_t step_any(std::uint32_t from);
  std::uint32_t step_digit(std::uint32_t from);
  void add_range(const std::string& lower, const std::string& upper, Entry entry);
  void add_open(std::uint32_t from, std::size_t digits, Entry entry);
  void walk(std::uint32_t node, std::string_view text, std::vector<Entry>& found) const;

  std::vector<Node> nodes_;
};

}  // namespace quartzarch::gap
