#include "yaml/problem.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace reeltack::yaml {

namespace {

std::string joined(const std::vector<Problem>& problems) {
  std::string out;
  for (const Problem& p : problems) out += (out.empty() ? "" : "\n") + p.shown();
  return out;
}

std::size_t distance(const std::string& a, const std::string& b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 0; i < a.size(); ++i) {
    std::size_t corner = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < b.size(); ++j) {
      const std::size_t changed = corner + (a[i] == b[j] ? 0 : 1);
      corner = row[j + 1];
      row[j + 1] = std::min({row[j] + 1, row[j + 1] + 1, changed});
    }
  }
  return row.back();
}

}  // namespace

std::string nearest(const std::string& word, const std::vector<std::string>& known) {
  std::string best;
  std::size_t least = std::max<std::size_t>(word.size() / 3, 1) + 1;
  for (const std::string& k : known) {
    if (const std::size_t d = distance(word, k); d < least) least = d, best = k;
  }
  return best;
}

std::string Problem::shown() const {
  std::string out = file;
  if (line > 0) out += ":" + std::to_string(line) + ":" + std::to_string(column);
  return out + ": " + (key.empty() ? "" : key + ": ") + text;
}

Error::Error(std::vector<Problem> problems)
    : std::runtime_error(joined(problems)), problems_(std::move(problems)) {}

}  // namespace reeltack::yaml
