#include "process/commands/command_help.h"

namespace carawayrelay {

std::string_view HelpText() {
  return R"(usage: carawayrelay COMMAND [OPTIONS]

Roles, in the foreground until SIGTERM:
  entry --settings FILE          serve clients and operators
      carawayrelay entry --settings /etc/carawayrelay/entry.json
  agent --settings FILE          serve one backend server
      carawayrelay agent --settings /etc/carawayrelay/agent.json
  frontend [--settings FILE]     serve clients on the users' platform; without
                                 FILE, use the file that the platform assigns
      carawayrelay frontend --settings /etc/carawayrelay/frontend.json
  worker [--settings FILE]       run batch items on the backend server of the VM
      carawayrelay worker --settings /etc/carawayrelay/worker.json

Files:
  check FILE [--kind entry|agent|config|frontend|worker]
                                 report all errors in a file
      carawayrelay check config.json
  explain ID FILE...             show the timeline of a request or job from the
                                 decision logs of all processes
      carawayrelay explain 9c41d07be2a35f68 logs/*.log

Configuration, through the admin port of an entry:
  apply FILE [--based_on N]      replace the configuration by FILE
      carawayrelay apply config.json --based_on 17
  key issue WORKSPACE            create a key and print it once
      carawayrelay key issue telar
  key withdraw KEY_ID            revoke a key
      carawayrelay key withdraw 5f0c7a91d2e3b486
  route set NAME [--kind model|service] [--open] [--norepeatable]
                 [--workspaces A,B]
                                 add or replace a route
      carawayrelay route set invoices --kind service --norepeatable
  route remove NAME              remove a route
      carawayrelay route remove invoices
  zone out ZONE                  send no new work to an availability zone
      carawayrelay zone out zone-2
  zone in ZONE                   send work to the zone again
      carawayrelay zone in zone-2
  status                         show version and state of each entry
      carawayrelay status --admin http://10.0.0.1:7002

Batch jobs, with the key of a client:
  job submit FILE --name NAME [--model MODEL]
                                 submit JSON lines; repeating it with the same
                                 name returns the existing job
      carawayrelay job submit items.jsonl --name nightly-0412 --model m
  job status ID                  show state and counts
      carawayrelay job status batch-1f
  job cancel ID                  stop a job
      carawayrelay job cancel batch-1f
  job results ID                 print the results of a job that has ended
      carawayrelay job results batch-1f >results.jsonl

Options:
  --admin http://IP:port   admin port of an entry; repeat it or separate several
                           by commas, or set CARAWAYRELAY_ADMIN
  --api http://IP:port     client port of an entry, or set CARAWAYRELAY_API
  --key KEY                key of a client, or set CARAWAYRELAY_KEY, which keeps
                           it out of the process list
  --help, --version

Exit codes: 0 done, 1 failed, 2 invalid input, 3 conflict with another change,
4 unavailable and nothing was changed, 5 the change may or may not be in effect.
)";
}

}  // namespace carawayrelay
