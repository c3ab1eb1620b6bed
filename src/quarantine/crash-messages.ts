/** Messages between daemons and the leader about runs of suspect requests and crashes, shared by the directory and control. */
import * as z from 'zod/mini';
import type { CrashCommand } from './crash-commands.js';
import type { CrashRecords } from './crash-records.js';

/** Reports that a back end crashed during these runs. */
export const backendEndedSchema = z.object({
  kind: z.literal('backend-ended'),
  /** Returned with the acknowledgement. */
  token: z.number(),
  life: z.string(),
  service: z.string(),
  version: z.string(),
  runs: z.array(z.object({ fingerprint: z.string(), alone: z.boolean() })),
});

/** Reports that a back end answered a watched request and did not crash. */
export const runCompletedSchema = z.object({
  kind: z.literal('run-completed'),
  fingerprint: z.string(),
  version: z.string(),
  isGood: z.boolean(),
});

/** Requests a permit to execute a suspect request at an incarnation of a back end. */
export const runPermitSchema = z.object({
  kind: z.literal('run-permit'),
  fingerprint: z.string(),
  life: z.string(),
  version: z.string(),
});

/** Releases a permit; `begun` tells whether its run may have begun. */
export const permitReleasedSchema = z.object({
  kind: z.literal('permit-released'),
  fingerprint: z.string(),
  life: z.string(),
  begun: z.boolean(),
});

/** Message of a daemon about runs. */
export type RunRequest =
  | z.infer<typeof backendEndedSchema>
  | z.infer<typeof runCompletedSchema>
  | z.infer<typeof runPermitSchema>
  | z.infer<typeof permitReleasedSchema>;

/** Message of the leader to a daemon about runs. */
export type RunNotice =
  /** Acknowledges that the crash of a back end was committed. */
  | { readonly kind: 'end-recorded'; readonly token: number }
  /** Permits an incarnation of a back end to execute a suspect request once. */
  | { readonly kind: 'run-permitted'; readonly fingerprint: string; readonly life: string };

/** Dependencies of `answerRunRequest`. */
export interface RunRequestPorts {
  readonly records: () => CrashRecords;
  /** Proposes a command; resolves to true once it was committed and applied successfully. */
  readonly propose: (command: CrashCommand) => Promise<boolean>;
}

/** Handles a daemon's message at the leader. */
export async function answerRunRequest(
  request: RunRequest,
  ports: RunRequestPorts,
  answer: (notice: RunNotice) => void,
): Promise<void> {
  switch (request.kind) {
    case 'backend-ended': {
      const { life, service, version, runs, token } = request;
      const recorded = await ports.propose({ kind: 'record-end', life, service, version, runs });
      if (recorded) answer({ kind: 'end-recorded', token });
      break;
    }
    case 'run-completed': {
      const { fingerprint, version, isGood } = request;
      if (ports.records().has(fingerprint)) {
        await ports.propose({ kind: 'record-completion', fingerprint, version, isGood });
      }
      break;
    }
    case 'run-permit': {
      const { fingerprint, life, version } = request;
      const permitted = await ports.propose({ kind: 'permit-run', fingerprint, life, version });
      if (permitted) answer({ kind: 'run-permitted', fingerprint, life });
      break;
    }
    case 'permit-released': {
      const { fingerprint, life, begun } = request;
      await ports.propose({ kind: 'release-permit', fingerprint, life, begun });
      break;
    }
  }
}
