// Case: a client that reads late gets other bytes within an answer.
#include "unread_answers.hpp"

using namespace review;

int main(int argc, char** argv) {
  return run_case(argc, argv, [](Record& record) {
    PackFleet packs(record);
    UnreadAnswers reader;
    reader.run(packs, record, 1200);
    return reader.wrong > 0;
  });
}
