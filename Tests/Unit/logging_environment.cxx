#include <gtest/gtest.h>

#include "Common/log.h"

namespace {

// Silences the logs of the parts under test, so that a failure stands out.
class logging_environment final : public testing::Environment
{
public:
    void SetUp() override
    {
        mango::startLogging("error");
        log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::getOff());
    }
};

const testing::Environment *const registered =
        testing::AddGlobalTestEnvironment(new logging_environment);

} // namespace
