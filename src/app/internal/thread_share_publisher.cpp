#include <utility>

#include "app/internal/thread_share_publisher.h"

#include <boost/asio/post.hpp>

#include <memory>

namespace oriole::app {

thread_share_publisher::thread_share_publisher(boost::asio::any_io_executor executor,
                                               traffic_control& traffic)
    : m_executor(std::move(executor)), m_traffic(traffic) {}

void thread_share_publisher::publish(const contracts::thread_shares& slices,
                                     std::function<void()> on_applied) {
    struct publication {
        /// Number of threads whose rate limiters do not use the published slices (thread shares)
        /// yet. Used on the control thread only.
        std::size_t outstanding;
        std::function<void()> on_applied;
    };

    const auto pending =
        std::make_shared<publication>(publication{slices.size(), std::move(on_applied)});
    const auto applied = [executor = m_executor, pending] {
        boost::asio::post(executor, [pending] {
            if (--pending->outstanding == 0) {
                pending->on_applied();
            }
        });
    };
    m_traffic.post_shares(slices, applied);
}

} // namespace oriole::app
