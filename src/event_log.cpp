#include "event_log.h"

#include "io_thread.h"
#include "log.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <future>
#include <random>

namespace magnolia {
namespace {

using boost::asio::ip::tcp;
using io_error = boost::system::error_code;

/// Interval between batches while fewer events than a full batch are queued.
constexpr std::chrono::milliseconds flush_interval{50};
constexpr std::chrono::milliseconds initial_backoff{200};
constexpr std::chrono::milliseconds max_backoff{10'000};
constexpr std::chrono::milliseconds write_timeout{5'000};
/// Maximum time that the destructor waits for the remaining events to be sent.
constexpr std::chrono::milliseconds stop_flush_timeout{300};
/// Maximum number of events per write.
constexpr std::size_t max_batch_events = 512;

/// Wall clock time in microseconds since 1970.
std::int64_t wall_time_us() {
    using namespace std::chrono;
    return duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
}

} // namespace

event_log::event_log(std::string host, std::string zone, std::uint64_t boot, std::size_t capacity)
    : host_{std::move(host)}, zone_{std::move(zone)}, boot_{boot}, ring_{capacity} {}

std::uint64_t event_log::emit(event_kind kind, event_fields fields) {
    timeline_event event{.host = host_,
                         .zone = zone_,
                         .boot = boot_,
                         .kind = std::string{to_string(kind)},
                         .request = std::move(fields.request),
                         .workspace = std::move(fields.workspace),
                         .subject = std::move(fields.subject),
                         .detail = std::move(fields.detail),
                         .cause_host = std::move(fields.cause.host),
                         .cause_sequence = fields.cause.sequence};
    const std::scoped_lock lock{mutex_};
    event.sequence = ++last_sequence_;
    event.wall_us = wall_time_us();
    if (!ring_.push(std::move(event))) {
        count_lost(1);
    }
    return last_sequence_;
}

std::uint64_t event_log::emit(event_kind kind, const request_id& request, event_fields fields) {
    fields.request = to_string(request);
    return emit(kind, std::move(fields));
}

/// Connection to the collector. All work is done on its own I/O thread. Events are sent in batches;
/// if the connection breaks, the events of the batch in flight are counted as lost.
class event_sender::connection {
public:
    connection(event_log& log, const endpoint& collector, metrics_registry& metrics)
        : log_{log}, target_{boost::asio::ip::make_address(collector.address), collector.port},
          lost_{metrics.make_gauge("magnolia_events_lost",
                                   "Time line events that did not reach the collector.")} {
        io_thread_.start();
        boost::asio::post(io_thread_.context(), [this] { connect(); });
    }

    /// Sends the remaining events if the collector is connected, then stops the thread.
    ~connection() {
        auto done = finished_.get_future();
        boost::asio::post(io_thread_.context(), [this] {
            is_stopping_ = true;
            if (!is_connected_) {
                signal_finished();
            } else if (!is_writing_) {
                flush();
            }
        });
        done.wait_for(stop_flush_timeout);
        io_thread_.stop();
    }

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

private:
    /// Signals the destructor, which waits on another thread, that nothing is left to send.
    void signal_finished() {
        if (!std::exchange(is_finished_, true)) {
            finished_.set_value();
        }
    }

    void connect() {
        socket_ = tcp::socket{io_thread_.context()};
        socket_.async_connect(target_, [this](io_error failure) {
            if (failure) {
                schedule_reconnect();
                return;
            }
            is_connected_ = true;
            backoff_ = initial_backoff;
            flush();
        });
    }

    /// Connects again after a random time between half of the current backoff and all of it.
    void schedule_reconnect() {
        is_connected_ = false;
        in_flight_ = 0;
        lost_.set(static_cast<double>(log_.lost()));
        if (is_stopping_) {
            signal_finished();
            return;
        }
        std::uniform_int_distribution<std::int64_t> jitter{backoff_.count() / 2, backoff_.count()};
        timer_.expires_after(std::chrono::milliseconds{jitter(random_)});
        backoff_ = std::min(backoff_ * 2, max_backoff);
        timer_.async_wait([this](io_error failure) {
            if (!failure) {
                connect();
            }
        });
    }

    /// Moves up to max_batch_events queued events into the batch.
    void fill_batch() {
        batch_.clear();
        in_flight_ = 0;
        while (in_flight_ < max_batch_events) {
            const auto event = log_.pop();
            if (!event) {
                return;
            }
            batch_ += nlohmann::json(*event).dump(-1, ' ', false,
                                                  nlohmann::json::error_handler_t::replace);
            batch_ += '\n';
            ++in_flight_;
        }
    }

    /// Sends the next batch.
    void flush() {
        lost_.set(static_cast<double>(log_.lost()));
        fill_batch();
        if (batch_.empty()) {
            is_stopping_ ? signal_finished() : schedule_flush();
            return;
        }
        is_writing_ = true;
        watchdog_.expires_after(write_timeout);
        watchdog_.async_wait([this](io_error failure) {
            if (!failure && is_writing_) {
                io_error ignored;
                socket_.close(ignored);
            }
        });
        boost::asio::async_write(socket_, boost::asio::buffer(batch_),
                                 [this](io_error failure, std::size_t) { on_written(failure); });
    }

    void on_written(io_error failure) {
        is_writing_ = false;
        watchdog_.cancel();
        if (failure) {
            log_.count_lost(in_flight_);
            logger_.warn("The connection to magnolia-timeline broke; reconnecting.");
            schedule_reconnect();
            return;
        }
        in_flight_ == max_batch_events || is_stopping_ ? flush() : schedule_flush();
    }

    /// Sends the next batch after flush_interval.
    void schedule_flush() {
        timer_.expires_after(flush_interval);
        timer_.async_wait([this](io_error failure) {
            if (!failure && !is_writing_ && is_connected_) {
                flush();
            }
        });
    }

    event_log& log_;
    tcp::endpoint target_;
    gauge lost_;
    logger logger_{"events"};
    io_thread io_thread_{"events"};
    tcp::socket socket_{io_thread_.context()};
    /// Delays the next batch or the next attempt to connect.
    boost::asio::steady_timer timer_{io_thread_.context()};
    /// Closes the connection if a write takes longer than write_timeout.
    boost::asio::steady_timer watchdog_{io_thread_.context()};
    std::minstd_rand random_{std::random_device{}()};
    std::chrono::milliseconds backoff_ = initial_backoff;
    std::string batch_;
    /// Number of events in the batch.
    std::size_t in_flight_ = 0;
    bool is_connected_ = false;
    bool is_writing_ = false;
    bool is_stopping_ = false;
    bool is_finished_ = false;
    std::promise<void> finished_;
};

event_sender::event_sender(event_log& log, const endpoint& collector, metrics_registry& metrics)
    : connection_{std::make_unique<connection>(log, collector, metrics)} {}

event_sender::~event_sender() = default;

} // namespace magnolia
