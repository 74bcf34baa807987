#include "flamingowick/gateway/TargetClient.h"

#include "flamingowick/gateway/HttpServer.h"
#include "flamingowick/model/BoundedRing.h"
#include "flamingowick/model/Error.h"
#include "flamingowick/model/HttpHead.h"

#include <curl/curl.h>

#include <atomic>
#include <thread>
#include <unordered_map>
#include <variant>

namespace flamingowick::gateway {

namespace {

    constexpr int pollLimitMs = 1000;
    constexpr long connectionCacheSize = 2000;
    constexpr std::size_t reservedHandles = 64;
    // Of an answer's header, its interim ones and its trailer together.
    constexpr std::size_t maxHeaderBytes = 64U << 10U;

    struct CancelCommand {
        std::uint64_t attempt { 0 };
    };

    using Command = std::variant<AttemptRequest, CancelCommand>;

    long toCurlMs(Duration duration)
    {
        auto count = std::chrono::ceil<std::chrono::milliseconds>(duration).count();
        return count < 1 ? 1 : static_cast<long>(count);
    }

    // One attempt while libcurl works on it.
    struct Transfer {
        AttemptRequest request;
        AttemptResult result;
        CURL* easy { nullptr };
        curl_slist* headerList { nullptr };
        // Times that libcurl was about to send the request. The second is its own silent resend on
        // a new connection, which is refused.
        unsigned sends { 0 };
        std::size_t headerBytes { 0 };
        bool tooLarge { false };
        ResponseHead head;

        Transfer() = default;
        Transfer(const Transfer&) = delete;
        Transfer& operator=(const Transfer&) = delete;

        ~Transfer()
        {
            curl_slist_free_all(this->headerList);
        }
    };

    int beforeSend(void* context, char*, char*, int, int)
    {
        auto* transfer = static_cast<Transfer*>(context);
        ++transfer->sends;
        return transfer->sends > 1 ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
    }

    std::size_t onBody(char* data, std::size_t size, std::size_t count, void* context)
    {
        auto* transfer = static_cast<Transfer*>(context);
        std::size_t bytes = size * count;
        if (transfer->result.body.size() + bytes > transfer->request.maxAnswerBytes) {
            transfer->tooLarge = true;
            return 0;
        }
        transfer->result.body.append(data, bytes);
        return bytes;
    }

    std::string_view trim(std::string_view text)
    {
        auto first = text.find_first_not_of(" \t\r\n");
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
    }

    std::size_t onHeader(char* data, std::size_t size, std::size_t count, void* context)
    {
        auto* transfer = static_cast<Transfer*>(context);
        std::string_view line(data, size * count);
        transfer->headerBytes += line.size();
        if (transfer->headerBytes > maxHeaderBytes) {
            transfer->tooLarge = true;
            return 0;
        }
        readHeaderLine(transfer->head, line);
        if (transfer->head.malformed)
            return 0;
        auto colon = line.find(':');
        if (line.starts_with("HTTP/"))
            transfer->result.headers.clear();
        else if (colon != std::string_view::npos)
            transfer->result.headers.push_back({ std::string(line.substr(0, colon)), std::string(trim(line.substr(colon + 1))) });
        return line.size();
    }

    bool hasNoBody(const Transfer& transfer)
    {
        unsigned status = transfer.result.status;
        return transfer.request.method == "HEAD" || status == 204 || status == 304 || status < 200;
    }

    AttemptEnd classify(const Transfer& transfer, CURLcode code)
    {
        if (code == CURLE_OK) {
            // libcurl reports no error when the connection closes in the middle of the header. A body that only the closing of the
            // connection ends can't be told from a cut one.
            return transfer.head.complete && (transfer.head.framed || hasNoBody(transfer)) ? AttemptEnd::Answered : AttemptEnd::BadAnswer;
        }
        if (transfer.sends == 0)
            return AttemptEnd::NotSent;
        if (code == CURLE_OPERATION_TIMEDOUT)
            return AttemptEnd::TimedOut;
        if (transfer.tooLarge || transfer.head.malformed || transfer.result.status != 0)
            return AttemptEnd::BadAnswer;
        return AttemptEnd::ConnectionLost;
    }

    void setMethod(CURL* easy, const AttemptRequest& request)
    {
        if (request.method == "HEAD") {
            curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
            return;
        }
        if (request.method != "GET" || !request.body.empty()) {
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
        }
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    }

    curl_slist* makeHeaderList(const AttemptRequest& request)
    {
        // Empty values stop libcurl from adding headers of its own.
        curl_slist* list = curl_slist_append(nullptr, "Expect:");
        if (findHeader(request.headers, "Accept") == nullptr)
            list = curl_slist_append(list, "Accept:");
        if (findHeader(request.headers, "Content-Type") == nullptr)
            list = curl_slist_append(list, "Content-Type:");
        for (const Header& header : request.headers) {
            std::string line = header.value.empty() ? header.name + ";" : header.name + ": " + header.value;
            list = curl_slist_append(list, line.c_str());
        }
        return list;
    }

    void setUp(CURL* easy, Transfer& transfer)
    {
        const AttemptRequest& request = transfer.request;
        curl_easy_reset(easy);
        curl_easy_setopt(easy, CURLOPT_URL, ("http://" + request.target + request.path).c_str());
        curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, toCurlMs(request.timeout));
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, toCurlMs(request.connectTimeout));
        curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, beforeSend);
        curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, onHeader);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, onBody);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
        setMethod(easy, request);
        transfer.headerList = makeHeaderList(request);
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headerList);
    }

}

struct TargetClient::Impl {
    std::function<void(AttemptResult)> onResult;
    CURLM* multi;
    BoundedRing<Command> commands;
    std::atomic<bool> stopping { false };
    // Used on the client's thread alone.
    std::unordered_map<std::uint64_t, std::unique_ptr<Transfer>> transfers;
    std::vector<CURL*> idleHandles;
    std::thread thread;

    Impl(std::size_t capacity, std::function<void(AttemptResult)> resultHandler)
        : onResult(std::move(resultHandler))
        , multi(curl_multi_init())
        , commands(capacity, [this] { curl_multi_wakeup(this->multi); })
    {
        if (this->multi == nullptr)
            throw GatewayError(402, "libcurl can't be set up");
        curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, connectionCacheSize);
        this->thread = std::thread([this] { this->run(); });
    }

    ~Impl()
    {
        this->stopping = true;
        curl_multi_wakeup(this->multi);
        this->thread.join();
        for (auto& [attempt, transfer] : this->transfers) {
            curl_multi_remove_handle(this->multi, transfer->easy);
            curl_easy_cleanup(transfer->easy);
        }
        for (CURL* easy : this->idleHandles)
            curl_easy_cleanup(easy);
        curl_multi_cleanup(this->multi);
    }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    void run()
    {
        std::vector<Command> batch;
        while (!this->stopping) {
            batch.clear();
            this->commands.popAll(batch);
            for (Command& command : batch)
                std::visit([this](auto& each) { this->execute(each); }, command);
            int running = 0;
            curl_multi_perform(this->multi, &running);
            this->collect();
            curl_multi_poll(this->multi, nullptr, 0, pollLimitMs, nullptr);
        }
    }

    void execute(AttemptRequest& request)
    {
        auto transfer = std::make_unique<Transfer>();
        transfer->request = std::move(request);
        transfer->result.attempt = transfer->request.attempt;
        transfer->easy = this->takeHandle();
        setUp(transfer->easy, *transfer);
        curl_multi_add_handle(this->multi, transfer->easy);
        this->transfers.emplace(transfer->request.attempt, std::move(transfer));
    }

    void execute(const CancelCommand& command)
    {
        auto found = this->transfers.find(command.attempt);
        if (found == this->transfers.end())
            return;
        found->second->result.end = found->second->sends == 0 ? AttemptEnd::NotSent : AttemptEnd::Cancelled;
        this->release(found);
    }

    CURL* takeHandle()
    {
        if (this->idleHandles.empty()) {
            CURL* easy = curl_easy_init();
            if (easy == nullptr)
                throw GatewayError(402, "libcurl has no memory for another transfer");
            return easy;
        }
        CURL* easy = this->idleHandles.back();
        this->idleHandles.pop_back();
        return easy;
    }

    void collect()
    {
        int left = 0;
        while (CURLMsg* message = curl_multi_info_read(this->multi, &left)) {
            if (message->msg == CURLMSG_DONE)
                this->finish(message->easy_handle, message->data.result);
        }
    }

    void finish(CURL* easy, CURLcode code)
    {
        Transfer* transfer = nullptr;
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, &transfer);
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        transfer->result.status = static_cast<unsigned>(status);
        transfer->result.end = classify(*transfer, code);
        this->release(this->transfers.find(transfer->request.attempt));
    }

    void release(std::unordered_map<std::uint64_t, std::unique_ptr<Transfer>>::iterator entry)
    {
        std::unique_ptr<Transfer> transfer = std::move(entry->second);
        this->transfers.erase(entry);
        curl_off_t microseconds = 0;
        curl_easy_getinfo(transfer->easy, CURLINFO_TOTAL_TIME_T, &microseconds);
        transfer->result.latency = std::chrono::microseconds(microseconds);
        curl_multi_remove_handle(this->multi, transfer->easy);
        if (this->idleHandles.size() < reservedHandles)
            this->idleHandles.push_back(transfer->easy);
        else
            curl_easy_cleanup(transfer->easy);
        this->onResult(std::move(transfer->result));
    }
};

TargetClient::TargetClient(std::size_t capacity, std::function<void(AttemptResult)> onResult)
    : impl(std::make_unique<Impl>(capacity, std::move(onResult)))
{
}

TargetClient::~TargetClient() = default;

bool TargetClient::start(AttemptRequest request)
{
    return this->impl->commands.tryPush(std::move(request));
}

bool TargetClient::cancel(std::uint64_t attempt)
{
    return this->impl->commands.tryPush(CancelCommand { attempt });
}

}
