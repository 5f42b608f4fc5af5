#pragma once

#include <optional>
#include <string>
#include <vector>

#include "fescueridge/base/endpoint.hpp"
#include "fescueridge/log_service/log_service.hpp"

namespace fescueridge
{

/// Gossip address of a node.
struct contact
{
    domain_name domain;
    endpoint gossip;
};

std::string encode_contacts(const std::vector<contact>& contacts);

/// Throws codec_error on malformed bytes.
std::vector<contact> decode_contacts(const std::string& bytes);

/// Appends contacts to the stream `contacts`. Throws like log_service::append().
void write_contacts(log_service& log, const std::vector<contact>& contacts,
                    milliseconds timeout);

/// Returns the contacts from the newest record of each failure domain. Malformed records
/// are skipped. Throws log_unavailable_error.
std::vector<contact> read_latest_contacts(log_service& log, milliseconds timeout);

} // namespace fescueridge
