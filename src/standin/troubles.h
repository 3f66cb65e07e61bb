// What goes wrong with stand-in centrales, as it is told, and what undoes it.
//
// Owns: the order of what befalls a centrale, from its beginning to its end.
// Must never: make a centrale or speak to the bulletin: whoever holds them does.
//
// Lives on the thread of its io_context.
#pragma once

#include "base/asio.h"
#include "standin/centrale.h"
#include "standin/centrales_file.h"

namespace reeltack::standin {

class Troubles {
 public:
  // Whoever holds the centrales; by position in their list.
  class Holder {
   public:
    virtual ~Holder() = default;
    virtual Centrale& centrale(std::size_t i) = 0;    // who stands there now
    virtual void tell(std::size_t i, int state) = 0;  // as Bulletin::Entry::state
    // A cold process in its place, under its own name or under a new one.
    virtual void begin_anew(std::size_t i, bool new_name) = 0;
  };
  Troubles(boost::asio::io_context& io, Holder& holder) : io_(io), holder_(holder) {}
  void schedule(const Trouble& t);  // after its `at`
  void begin(const Trouble& t);     // at once

 private:
  void befall(const Trouble& t, std::size_t i);
  boost::asio::io_context& io_;
  Holder& holder_;
};

}  // namespace reeltack::standin
