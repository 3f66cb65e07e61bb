// A log of the events of an asynchronous store that tests can wait for, and a fixture with a store on a
// disk that the test controls.
#pragma once

#include <condition_variable>
#include <mutex>
#include <vector>

#include "faulty_vfs.h"
#include "script.h"
#include "store/async_store.h"

namespace reeltack::store {

inline constexpr std::chrono::seconds kTestTimeout{30};

// Collects events and lets a test wait for them.
class EventLog {
 public:
  void operator()(const AsyncStoreEvent& e) {
    const std::lock_guard lock(mutex_);
    events_.push_back(e);
    more_.notify_all();
  }
  // Waits for the first event of that kind; `found` is false on timeout.
  AsyncStoreEvent wait(AsyncStoreEvent::Kind kind, bool& found) {
    std::unique_lock lock(mutex_);
    AsyncStoreEvent out;
    found = more_.wait_for(lock, kTestTimeout, [&] {
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
  std::string text() {  // one line per event, for failure messages
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

struct FaultyDiskFixture {
  TempDir temp;
  FaultyVfs vfs;
  EventLog events;
  StoreSettings store_settings = settings(temp / "s");
  AsyncStoreSettings async_settings;
  FaultyDiskFixture() {
    store_settings.vfs = FaultyVfs::name;
    async_settings.first_retry = std::chrono::milliseconds(1);
    async_settings.last_retry = std::chrono::milliseconds(8);
    async_settings.shutdown_timeout = kTestTimeout;
    async_settings.on_event = [this](const AsyncStoreEvent& e) { events(e); };
  }
  AsyncStoreEvent expect(AsyncStoreEvent::Kind kind) {
    bool found = false;
    AsyncStoreEvent e = events.wait(kind, found);
    EXPECT_TRUE(found);
    return e;
  }
};

}  // namespace reeltack::store
