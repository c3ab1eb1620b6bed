/** Dependencies of the gateway to a back end. */
import type { LinkPacer } from '../link/link-pacer.js';
import type { Runtime } from '../runtime/runtime.js';
import type { EventLog } from '../telemetry/event-log.js';
import type { Latencies } from '../telemetry/latencies.js';
import type { BackendClient } from './backend-client.js';
import type { ColdStartLimit } from './cold-start-limit.js';
import type { CrashGuard } from './crash-guard.js';
import type { ProbeIncarnation } from './end-confirmation.js';

/** Dependencies of a gateway, and the state of its back end. */
export interface GatewayPorts {
  readonly runtime: Runtime;
  readonly log: EventLog;
  readonly service: string;
  readonly latencies: Latencies;
  /** Paces large answers; null if the network link is fast. */
  readonly pacer: LinkPacer | null;
  readonly backend: BackendClient;
  /** Limits the request rate while the back end is cold. */
  readonly coldLimit: ColdStartLimit;
  /** Probes the back end for an incarnation. */
  readonly probeIncarnation: ProbeIncarnation;
  readonly guard: CrashGuard;
  /** Id of the present incarnation; null before its first heartbeat, and until it is known whether it leaves. */
  readonly instance: () => string | null;
  /** Whether this daemon has only just started, so that the first heartbeat may still be on the way. */
  readonly awaitsBackend: () => boolean;
  /** Time in ms from which requests are refused because the back end leaves or the daemon stops; infinite otherwise. */
  readonly closesAtMs: () => number;
  /** Time in ms at which runs are ended because the daemon stops; infinite while it does not. */
  readonly endsAtMs: () => number;
  /** Whether callers should prefer other instances for new requests. */
  readonly leaving: () => boolean;
  /** Whether the back end holds the key now. */
  readonly holdsKey: (key: number) => boolean;
  /** Whether the key is assigned to the back end, or is about to be. */
  readonly ownsKey: (key: number) => boolean;
  /** Longest recent delay of this process, in ms. */
  readonly stalledMs: () => number;
  /** Called with each answer of the present incarnation; `leaving` tells whether it states that the back end leaves. */
  readonly onAnswer: (leaving: boolean) => void;
  /** Called when slot time is used for a key; `ms` may be negative to correct an estimate. */
  readonly onWork: (key: number | null, ms: number) => void;
}
