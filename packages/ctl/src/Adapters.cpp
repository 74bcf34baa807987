#include "flamingowick/ctl/Adapters.h"

#include "flamingowick/model/HttpHead.h"
#include "flamingowick/platform/PlatformClient.h"

#include <curl/curl.h>

#include <array>
#include <cctype>
#include <future>
#include <memory>

namespace flamingowick::ctl {

namespace {

    constexpr long connectTimeoutMs = 1000;
    constexpr long callTimeoutMs = 5000;
    constexpr std::size_t maxAnswerBytes = 16U << 20U;

    // Makes calls at a client that runs on its own thread, one after another.
    class BlockingClient {
    public:
        explicit BlockingClient(const std::string& url)
            : client(settingsFor(url), [this](platform::Result result) { this->answer.set_value(std::move(result)); })
        {
        }

        platform::Result call(platform::Call call)
        {
            this->answer = {};
            std::future<platform::Result> future = this->answer.get_future();
            std::visit([](auto& each) { each.id = 1; }, call);
            if (!this->client.submit(std::move(call)))
                return platform::Unavailable { 1, "too many calls wait" };
            return future.get();
        }

    private:
        static platform::ClientSettings settingsFor(const std::string& url)
        {
            platform::ClientSettings settings;
            settings.url = url;
            settings.vm = "flamingowickctl";
            return settings;
        }

        std::promise<platform::Result> answer;
        platform::PlatformClient client;
    };

    std::size_t takeBytes(const char* bytes, std::size_t size, std::size_t count, void* target)
    {
        auto& body = *static_cast<std::string*>(target);
        if (body.size() + size * count > maxAnswerBytes)
            return 0;
        body.append(bytes, size * count);
        return size * count;
    }

    std::size_t checkLine(const char* bytes, std::size_t size, std::size_t count, void* target)
    {
        auto& head = *static_cast<ResponseHead*>(target);
        readHeaderLine(head, { bytes, size * count });
        return head.malformed ? 0 : size * count;
    }

    using CurlHandle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
    using CurlHeaders = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

    void prepare(CURL* handle, const std::string& url, curl_slist* headers, ResponseHead& head, std::string& body)
    {
        curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
        curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
        curl_easy_setopt(handle, CURLOPT_PROXY, "");
        curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMs);
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, callTimeoutMs);
        curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, checkLine);
        curl_easy_setopt(handle, CURLOPT_HEADERDATA, &head);
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, takeBytes);
        curl_easy_setopt(handle, CURLOPT_WRITEDATA, &body);
    }

}

std::function<platform::Result(const platform::Call&)> connectPlatform(const std::string& url)
{
    auto client = std::make_shared<std::unique_ptr<BlockingClient>>();
    return [client, url](const platform::Call& call) {
        if (!*client)
            *client = std::make_unique<BlockingClient>(url);
        return (*client)->call(call);
    };
}

DaemonAnswer getFromDaemon(std::string_view address, std::string_view path, std::string_view token)
{
    CurlHandle handle(curl_easy_init(), &curl_easy_cleanup);
    const std::string header = "Authorization: Bearer " + std::string(token);
    CurlHeaders headers(curl_slist_append(nullptr, header.c_str()), &curl_slist_free_all);
    if (!handle || !headers)
        return { 0, "", "libcurl can't be set up" };
    DaemonAnswer answer;
    ResponseHead head;
    prepare(handle.get(), "http://" + std::string(address) + std::string(path), headers.get(), head, answer.body);
    const CURLcode code = curl_easy_perform(handle.get());
    if (code != CURLE_OK)
        return { 0, "", curl_easy_strerror(code) };
    if (!head.complete || !head.framed)
        return { 0, "", "the answer may have been cut" };
    long status = 0;
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
    answer.status = static_cast<unsigned>(status);
    return answer;
}

std::string escapeForUrl(std::string_view value)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr std::string_view plain = "-._~";
    std::string escaped;
    for (const char character : value) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || plain.find(character) != std::string_view::npos) {
            escaped += character;
            continue;
        }
        escaped += '%';
        escaped += digits[byte / 16U];
        escaped += digits[byte % 16U];
    }
    return escaped;
}

}
