// Starts and ends the threads of the asynchronous store.
#include "store/async_store.h"

#include <optional>
#include <stdexcept>
#include <utility>

#include "store/writer.h"

namespace reeltack::store {

AsyncStore::AsyncStore(StoreSettings store, OpenResult&& opened, AsyncStoreSettings settings)
    : writer_(std::make_shared<Writer>(std::move(store), std::move(opened), std::move(settings))),
      writing_([writer = writer_] { writer->run(); }) {
  std::string reason;
  if (watching_.start([writer = writer_] { writer->watch(); }, reason)) return;
  end();
  throw std::runtime_error(reason);
}

AsyncStore::~AsyncStore() { end(); }

void AsyncStore::end() {
  const bool ended = writer_->stop();
  watching_.join();
  if (ended) {
    writing_.join();
    return;
  }
  writer_->forget_owner();
  writing_.detach();
}

std::uint64_t AsyncStore::put(const std::string& key, std::string value) {
  return writer_->put(key, std::move(value));
}
std::uint64_t AsyncStore::erase(const std::string& key) { return writer_->put(key, std::nullopt); }
void AsyncStore::remember(const std::string& key, std::string value) {
  writer_->remember(key, std::move(value));
}
std::uint64_t AsyncStore::durable_up_to() const { return writer_->durable_up_to(); }
bool AsyncStore::is_durable(const std::string& key, std::uint64_t number) const {
  return writer_->is_durable(key, number);
}
bool AsyncStore::flush(std::chrono::milliseconds within) { return writer_->flush(within); }
AsyncStoreCounts AsyncStore::counts() const { return writer_->counts(); }

}  // namespace reeltack::store
