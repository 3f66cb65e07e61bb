#include "standin/troubles.h"

#include "standin/sockets.h"

namespace reeltack::standin {

void Troubles::schedule(const Trouble& t) {
  later(io_, t.at, [this, t] { begin(t); });
}
void Troubles::begin(const Trouble& t) {
  for (const std::size_t i : t.centrales) befall(t, i);
}
void Troubles::befall(const Trouble& t, std::size_t i) {
  Centrale* c = &holder_.centrale(i);
  // Undone only on the centrale that it befell: another may stand in its place by then.
  const auto undo = [this, i, c, &t](auto&& what) {
    later(io_, t.lasts, [this, i, c, what] {
      if (&holder_.centrale(i) == c) what(*c);
    });
  };
  switch (t.kind) {
    case Trouble::Kind::pause:
      c->pause(true);
      undo([](Centrale& x) { x.pause(false); });
      break;
    case Trouble::Kind::slow:
      c->slow(t.factor);
      undo([](Centrale& x) { x.slow(1.0); });
      break;
    case Trouble::Kind::lose_lines:
      c->lose(t.factor);
      undo([](Centrale& x) { x.lose(0.0); });
      break;
    case Trouble::Kind::silent:
      c->silent(true);
      undo([](Centrale& x) { x.silent(false); });
      break;
    case Trouble::Kind::die:
      c->die();
      holder_.tell(i, 2);
      break;
    case Trouble::Kind::drain:
      holder_.tell(i, 1);
      undo([this, i](Centrale& x) {
        x.die();
        holder_.tell(i, 2);
      });
      break;
    case Trouble::Kind::replace:
      c->die();
      holder_.tell(i, 2);
      later(io_, t.lasts, [this, i] { holder_.begin_anew(i, true); });
      break;
    case Trouble::Kind::restart:  // nobody tells that it was away
      c->die();
      later(io_, t.lasts, [this, i] { holder_.begin_anew(i, false); });
      break;
  }
}

}  // namespace reeltack::standin
