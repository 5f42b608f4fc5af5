#include "fescueridge/base/cbor.hpp"

#include <nlohmann/json.hpp>

#include "fescueridge/base/error.hpp"

namespace fescueridge
{

namespace
{

using json = nlohmann::json;

/// Builds a value and stops when it nests too deeply.
class bounded_builder : public nlohmann::detail::json_sax_dom_parser<json>
{
public:
    using base = nlohmann::detail::json_sax_dom_parser<json>;
    using base::base;

    bool start_array(std::size_t size) { return descend() && base::start_array(size); }
    bool start_object(std::size_t size) { return descend() && base::start_object(size); }

    bool end_array()
    {
        --depth_;
        return base::end_array();
    }

    bool end_object()
    {
        --depth_;
        return base::end_object();
    }

private:
    bool descend() { return ++depth_ <= max_cbor_depth; }

    std::size_t depth_ = 0;
};

} // namespace

json parse_cbor(std::string_view bytes)
{
    json result;
    bounded_builder builder(result);
    bool complete = false;
    try
    {
        complete = json::sax_parse(bytes, &builder, json::input_format_t::cbor);
    }
    catch (const json::exception& problem)
    {
        throw codec_error(problem.what());
    }
    if (!complete)
    {
        throw codec_error("CBOR value is nested too deeply");
    }
    return result;
}

} // namespace fescueridge
