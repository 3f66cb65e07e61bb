// Random runs of four holders in virtual time, with lost, reordered, duplicated and very late messages,
// restarts, raised incarnations and deletions, compared with a simple model. The bounds are small, so that
// deltas are split and floors rise.
#include <gtest/gtest.h>

#include <set>
#include <variant>
#include <vector>

#include "facts_world.h"

namespace reeltack::fleet::facts::test {
namespace {

using VersionId = std::tuple<Incarnation, Version>;
using FactId = std::tuple<MemberId, Incarnation, Version>;
struct Written {
  Key key;
  std::string value;
  Time when;
};
struct Message {
  std::size_t from = 0, to = 0;
  std::variant<Summary, Digest, Delta> what;
  Digest request;  // sent with a delta
  Time sent;
  std::map<FactId, Duration> lag;  // of the delta's facts, when it was sent
};

class World {
 public:
  World(std::uint64_t seed, const FactsSettings& settings) : random_(seed), settings_(settings) {
    for (std::size_t n = 0; n < 4; ++n)
      members_.push_back(Member{id(n + 1), 1, Facts(settings, id(n + 1), 1)});
  }

  void run(int steps) {
    for (int step = 0; step < steps; ++step) {
      now_ += milliseconds(random_.below(400));
      const std::size_t index = random_.below(members_.size());
      Member& member = members_[index];
      const std::uint64_t what = random_.below(12);
      if (what < 5) {
        write(member, what < 3);
      } else if (what == 5) {
        if (random_.below(4) == 0) restart(member);
      } else if (what == 6) {
        member.facts.tick(now_);
        if (random_.below(6) == 0) raise(member);
      } else {
        if (random_.below(2) == 0) begin(index);
        deliver();
        deliver();
      }
      verify(members_[index]);
    }
  }

  // Ends the losses and delivers what is in transit. Then all holders must agree with the owners.
  void settle() {
    lossy_ = false;
    while (!in_transit_.empty()) deliver();
    Shown truth;
    for (const Member& member : members_) {
      for (const auto& [key, fact] : member.own) truth[{member.id, key.kind, key.subject}] = fact;
    }
    for (int round = 0; round < 60; ++round) {
      bool agreed = true;
      for (std::size_t n = 0; n < members_.size(); ++n) {
        now_ += milliseconds(100);
        begin(n);
        while (!in_transit_.empty()) deliver();
        members_[n].facts.tick(now_);
        agreed = agreed && shown(members_[n].facts, now_) == truth;
      }
      if (agreed) break;
    }
    for (const Member& member : members_) EXPECT_EQ(shown(member.facts, now_), truth);
  }

 private:
  struct Member {
    MemberId id{};
    Incarnation incarnation = 1;
    Facts facts;
    std::map<Key, std::string> own{};
    std::map<std::tuple<MemberId, Key>, VersionId> last{};  // the newest version shown of a key
    std::map<std::tuple<MemberId, Key>, bool> there{};
    std::map<FactId, Duration> lag{};
  };

  void write(Member& member, bool put) {
    const std::uint64_t n = random_.below(7);
    const Key key = n == 0 ? Key{kUnknown, 1} : office(n);
    if (put) {
      const std::string value = std::to_string(++values_) + std::string(random_.below(40), '.');
      if (!member.facts.put(now_, key, value)) return;
      member.own[key] = value;
      ages_[value] = now_;
    } else {
      member.facts.erase(now_, key);
      member.own.erase(key);
    }
    record_written(member);
  }
  // Records what the owner itself shows as written.
  void record_written(Member& member) {
    for (const Kind kind : {Kind::office, kUnknown}) {
      member.facts.each(now_, kind, [&](const Fact& fact) {
        if (fact.owner == member.id) {
          written_[{fact.owner, fact.incarnation, fact.version}] = {fact.key, fact.value,
                                                                    ages_.at(fact.value)};
        }
      });
    }
  }
  void restart(Member& member) {
    member = Member{member.id, member.incarnation + 1, Facts(settings_, member.id, member.incarnation + 1)};
  }
  void raise(Member& member) {
    member.facts.raise(++member.incarnation);
    record_written(member);
  }

  void send(Message message) {
    if (lossy_ && random_.below(10) == 0) return;
    if (lossy_ && random_.below(10) == 0) in_transit_.push_back(message);
    in_transit_.push_back(std::move(message));
  }
  void begin(std::size_t from) {
    const std::size_t to = (from + 1 + random_.below(members_.size() - 1)) % members_.size();
    send({from, to, members_[from].facts.summary(), {}, now_, {}});
  }
  Delta delta(Member& member, const Digest& digest, std::map<FactId, Duration>& lag) {
    Delta delta = member.facts.delta(now_, digest);
    EXPECT_LE(encoded(delta), settings_.max_delta_bytes + 80);
    for (const OwnerDelta& part : delta.owners) {
      for (const Fact& fact : part.facts) {
        const FactId fact_id{fact.owner, fact.incarnation, fact.version};
        lag[fact_id] = member.lag[fact_id];
      }
    }
    return delta;
  }
  void deliver() {
    if (in_transit_.empty()) return;
    const std::size_t n = random_.below(in_transit_.size());
    const Message message = in_transit_[n];
    in_transit_.erase(in_transit_.begin() + static_cast<std::ptrdiff_t>(n));
    Member& to = members_[message.to];
    Message answer{message.to, message.from, {}, {}, now_, {}};
    if (const auto* summary = std::get_if<Summary>(&message.what)) {
      answer.what = to.facts.digest(*summary);
      send(answer);
    } else if (const auto* digest = std::get_if<Digest>(&message.what)) {
      answer.what = delta(to, *digest, answer.lag);
      answer.request = to.facts.request(*digest);
      send(answer);
    } else {
      take(to, message);
      if (message.request.entries.empty()) return;
      answer.what = delta(to, message.request, answer.lag);
      send(answer);
    }
  }
  std::set<FactId> held(const Member& member) const {
    std::set<FactId> all;
    for (const Kind kind : {Kind::office, kUnknown}) {
      member.facts.each(now_, kind,
                        [&](const Fact& fact) { all.emplace(fact.owner, fact.incarnation, fact.version); });
    }
    return all;
  }
  void take(Member& to, const Message& message) {
    const std::set<FactId> before = held(to);
    const Facts::Applied applied =
        to.facts.apply(now_, members_[message.from].id, std::get<Delta>(message.what));
    EXPECT_EQ(applied.conflicting_incarnation, 0U);
    for (const FactId& fact_id : held(to)) {
      if (!before.contains(fact_id)) to.lag[fact_id] = message.lag.at(fact_id) + (now_ - message.sent);
    }
    verify(to);
  }

  void verify(Member& member) {
    member.facts.check();
    const Counts& counts = member.facts.counts();
    ASSERT_EQ(counts.over_bound + counts.malformed + counts.not_from_owner, 0U);
    for (auto& [key, there] : member.there) there = false;
    for (const Kind kind : {Kind::office, kUnknown}) {
      member.facts.each(now_, kind, [&](const Fact& fact) { verify(member, fact); });
    }
    for (const auto& [key, there] : member.there) {  // gone: only a newer version may appear
      if (!there) gone_[{member.id, member.incarnation, key}] = member.last.at(key);
    }
  }
  void verify(Member& member, const Fact& fact) {
    const FactId fact_id{fact.owner, fact.incarnation, fact.version};
    const auto written = written_.find(fact_id);
    ASSERT_NE(written, written_.end()) << "a fact that its owner never wrote";
    EXPECT_EQ(written->second.value, fact.value);
    EXPECT_EQ(written->second.key, fact.key);
    const Duration age = now_ - written->second.when;
    EXPECT_LE(fact.age, age);
    EXPECT_GE(fact.age, age - member.lag[fact_id]);
    const std::tuple<MemberId, Key> key{fact.owner, fact.key};
    const VersionId version{fact.incarnation, fact.version};
    EXPECT_GE(version, member.last[key]) << "an older version came back";
    const auto gone = gone_.find({member.id, member.incarnation, key});
    EXPECT_TRUE(gone == gone_.end() || version > gone->second) << "a deleted fact came back";
    member.last[key] = version;
    member.there[key] = true;
  }

  Random random_;
  FactsSettings settings_;
  Time now_ = at(seconds(0));
  std::vector<Member> members_;
  std::vector<Message> in_transit_;
  std::map<FactId, Written> written_;
  std::map<std::string, Time> ages_;
  std::map<std::tuple<MemberId, Incarnation, std::tuple<MemberId, Key>>, VersionId> gone_;
  std::uint64_t values_ = 0;
  bool lossy_ = true;
};

// Sanitizer builds use fewer seeds.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::uint64_t kSeeds = 200;
#else
constexpr std::uint64_t kSeeds = 3000;
#endif
TEST(FactsRandom, HoldersAgreeWithTheModel) {
  for (std::uint64_t seed = 1; seed <= kSeeds && !HasFailure(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    FactsSettings settings;
    settings.max_facts_per_owner = seed % 2 == 0 ? 5 : 12;
    settings.max_bytes_per_owner = seed % 3 == 0 ? 260 : 4096;
    settings.max_delta_bytes = seed % 4 < 2 ? 150 : 4096;
    settings.tombstone_retention = seconds(seed % 5 < 2 ? 2 : 20);
    World world(seed, settings);
    for (int part = 0; part < 2; ++part) {
      world.run(150);
      world.settle();
    }
  }
}

}  // namespace
}  // namespace reeltack::fleet::facts::test
