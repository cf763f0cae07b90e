#include "backend_process.h"
#include "backend_settings.h"
#include "base/errors.h"

#include <boost/asio.hpp>
#include <glog/logging.h>

#include <iostream>

namespace {

namespace standins = oriole::standins;

constexpr int usage_error = 2;

int run(const standins::backend_settings& settings) {
    boost::asio::io_context context(1);
    standins::backend_process process(context, settings);
    boost::asio::signal_set stop(context, SIGINT, SIGTERM);
    stop.async_wait([&context](boost::system::error_code, int) { context.stop(); });
    process.start();
    context.run();
    return 0;
}

} // namespace

int main(int argument_count, char** arguments) {
    google::InitGoogleLogging(arguments[0]);
    FLAGS_logtostderr = true;
    try {
        const auto settings = standins::parse_settings(argument_count, arguments);
        return settings ? run(*settings) : 0;
    } catch (const oriole::invalid_input& failure) {
        std::cerr << "oriole-backend: " << failure.what() << '\n';
        return usage_error;
    } catch (const std::exception& failure) {
        std::cerr << "oriole-backend: " << failure.what() << '\n';
        return 1;
    }
}
