#include <criterion/criterion.h>

#include "fescueridge/gateway/client_retry_detector.hpp"

using namespace fescueridge;
using namespace fescueridge::gateway;

namespace
{

const route_name browse("browse");

} // namespace

// Even an immediate client retry, with only 7 ms less time left, must be distinguished
// from a new request.
Test(client_retry_detector, detects_a_client_retry_by_its_remaining_time)
{
    client_retry_detector detector;
    cr_expect(!detector.is_client_retry(browse, milliseconds{5'000}));
    cr_expect(detector.is_client_retry(browse, milliseconds{4'993}));
    cr_expect(detector.is_client_retry(browse, milliseconds{3'300}));
    cr_expect(!detector.is_client_retry(browse, milliseconds{5'000}));
    cr_expect(!detector.is_client_retry(route_name("lookup"), milliseconds{600}));
}

// A few clients with longer timeouts must not make all other requests look like retries.
Test(client_retry_detector, ignores_rare_long_timeouts)
{
    client_retry_detector detector;
    for (int i = 0; i < 400; ++i)
        detector.is_client_retry(browse, milliseconds{i % 25 == 0 ? 9'000 : 5'000});
    cr_expect(!detector.is_client_retry(browse, milliseconds{5'000}));
    cr_expect(detector.is_client_retry(browse, milliseconds{4'900}));
}

// Clients whose timeouts all differ give no full timeout to compare with. Their requests
// must count as new, since retries are rejected first.
Test(client_retry_detector, treats_requests_as_new_without_a_common_timeout)
{
    client_retry_detector detector;
    for (int i = 0; i < 400; ++i)
        detector.is_client_retry(browse, milliseconds{1'000 + 37 * (i % 100)});
    unsigned client_retries = 0;
    for (int i = 0; i < 100; ++i)
        client_retries +=
            detector.is_client_retry(browse, milliseconds{1'000 + 37 * i}) ? 1 : 0;
    cr_expect_eq(client_retries, 0U);
}
