// What is wrong with a file of operators, and where.
//
// Owns: the form of messages: file, line, column, key, text.
#pragma once

#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace reeltack::yaml {

// One thing that is wrong.
struct Problem {
  std::string file;
  int line = 0;  // from 1; 0: the file as a whole
  int column = 0;
  std::string key;                          // as classes[0].share; empty: the top
  std::string text;                         // what is wrong, and what would be right
  [[nodiscard]] std::string shown() const;  // file:line:column: key: text
};

// Holds every problem found; what() shows them all, a line each.
class Error : public std::runtime_error {
 public:
  explicit Error(std::vector<Problem> problems);
  [[nodiscard]] const std::vector<Problem>& problems() const { return problems_; }

 private:
  std::vector<Problem> problems_;
};

// The known word nearest to a misspelt one (Levenshtein, at most a third of it wrong); empty: none is near.
std::string nearest(const std::string& word, const std::vector<std::string>& known);

}  // namespace reeltack::yaml
