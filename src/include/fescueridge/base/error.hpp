#pragma once

#include <stdexcept>
#include <string>

namespace fescueridge
{

/// Base of every failure that fescueridge reports by exception.
class error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// A settings file cannot be used: names the file and the key at fault.
class settings_error : public error
{
public:
    settings_error(const std::string& file, const std::string& key,
                   const std::string& reason);

    /// Returns the key at fault, for example "listen.caller"; empty for the whole file.
    const std::string& key() const noexcept { return key_; }

private:
    std::string key_;
};

/// Bytes from another process do not form a valid message or record.
class codec_error : public error
{
public:
    using error::error;
};

/// An address or port cannot be listened on or connected to.
class address_error : public error
{
public:
    using error::error;
};

} // namespace fescueridge
