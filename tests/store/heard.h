// What a keeper has reported, to be waited for, and a case of one keeper over a disk that a test controls.
#pragma once

#include <condition_variable>
#include <mutex>
#include <vector>

#include "faulty_vfs.h"
#include "script.h"
#include "store/keeper.h"

namespace reeltack::store {

inline constexpr std::chrono::seconds kLong{30};

// The keeper's events, to be waited for.
class Heard {
 public:
  void operator()(const AsyncStoreEvent& e) {
    const std::lock_guard lock(mutex_);
    events_.push_back(e);
    more_.notify_all();
  }
  // The first event of that kind; whether there was one is told by `found`.
  AsyncStoreEvent wait(AsyncStoreEvent::Kind kind, bool& found) {
    std::unique_lock lock(mutex_);
    AsyncStoreEvent out;
    found = more_.wait_for(lock, kLong, [&] {
      for (const AsyncStoreEvent& e : events_) {
        if (e.kind == kind) return out = e, true;
      }
      return false;
    });
    return out;
  }
  std::size_t count(AsyncStoreEvent::Kind kind) {
    const std::lock_guard lock(mutex_);
    std::size_t n = 0;
    for (const AsyncStoreEvent& e : events_) n += e.kind == kind ? 1 : 0;
    return n;
  }
  std::string text() {  // one line an event, for a failure's message
    const std::lock_guard lock(mutex_);
    std::string out;
    for (const AsyncStoreEvent& e : events_) out += to_text(e) + "\n";
    return out;
  }

 private:
  std::mutex mutex_;
  std::condition_variable more_;
  std::vector<AsyncStoreEvent> events_;
};

struct Case {
  TempDir temp;
  FaultyVfs vfs;
  Heard heard;
  StoreSettings store = settings(temp / "s");
  AsyncStoreSettings keeper;
  Case() {
    store.vfs = FaultyVfs::name;
    keeper.first_retry = std::chrono::milliseconds(1);
    keeper.last_retry = std::chrono::milliseconds(8);
    keeper.shutdown_timeout = kLong;
    keeper.on_event = [this](const AsyncStoreEvent& e) { heard(e); };
  }
  AsyncStoreEvent expect(AsyncStoreEvent::Kind kind) {
    bool found = false;
    AsyncStoreEvent e = heard.wait(kind, found);
    EXPECT_TRUE(found);
    return e;
  }
};

}  // namespace reeltack::store
