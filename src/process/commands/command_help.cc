#include "process/commands/command_help.h"

namespace carawayrelay {

std::string_view HelpText() {
  return R"(usage: carawayrelay COMMAND [OPTIONS]

Roles, in the foreground until SIGTERM:
  entry --settings FILE          serve callers and operators
      carawayrelay entry --settings /etc/carawayrelay/entry.json
  agent --settings FILE          serve one backend server
      carawayrelay agent --settings /etc/carawayrelay/agent.json
  frontend [--settings FILE]     serve clients on the users' platform; without
                                 FILE the platform names the settings file
      carawayrelay frontend --settings /etc/carawayrelay/frontend.json
  worker [--settings FILE]       run batch items on the backend server of the VM
      carawayrelay worker --settings /etc/carawayrelay/worker.json

Files:
  check FILE [--kind entry|agent|config|frontend|worker]
                                 report everything that is wrong with a file
      carawayrelay check config.json
  explain ID FILE...             tell what happened to a request or job, from the
                                 decision logs of all processes
      carawayrelay explain 9c41d07be2a35f68 logs/*.log

Configuration, through the admin port of an entry:
  apply FILE [--based_on N]      make FILE the whole configuration
      carawayrelay apply config.json --based_on 17
  key issue WORKSPACE            make a key and print it once
      carawayrelay key issue telar
  key withdraw KEY_ID            make a key stop working
      carawayrelay key withdraw 5f0c7a91d2e3b486
  route set NAME [--kind model|service] [--open] [--norepeatable]
                 [--workspaces A,B]
                                 add or replace a route
      carawayrelay route set invoices --kind service --norepeatable
  route remove NAME              remove a route
      carawayrelay route remove invoices
  zone out ZONE                  give an availability zone no new work
      carawayrelay zone out zone-2
  zone in ZONE                   give it work again
      carawayrelay zone in zone-2
  status                         show version and state of each entry
      carawayrelay status --admin http://10.0.0.1:7002

Batch jobs, with the key of a caller:
  job submit FILE --name NAME [--model MODEL]
                                 submit JSON lines; a repeat under the same
                                 name finds the first job
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
  --api http://IP:port     callers' port of an entry, or set CARAWAYRELAY_API
  --key KEY                key of a caller; CARAWAYRELAY_KEY keeps it out of the
                           list of processes
  --help, --version

Exit codes: 0 done, 1 failed, 2 invalid input, 3 conflict with another change,
4 unavailable and nothing was done, 5 the change may or may not be in effect.
)";
}

}  // namespace carawayrelay
