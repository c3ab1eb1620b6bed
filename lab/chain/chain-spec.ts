/** Specification of a simulated chain: services that call each other, and the callers in front of them. */

/** Calls that a run makes before it ends. */
export interface ChainCalls {
  /** The called service. */
  readonly service: string;
  /** Number of sequential calls of one run. */
  readonly callsPerRun: number;
  /** Share of the runs that make calls. */
  readonly share: number;
}

/** One service of the chain. */
export interface ChainService {
  readonly name: string;
  readonly backends: number;
  /** Requests that one back end runs concurrently. */
  readonly slots: number;
  /** Mean work of a caller's request, in ms. */
  readonly workMs: number;
  /** Callers' requests per second. */
  readonly perSecond: number;
  /** Target latency in ms, within which an answer has its full value. */
  readonly targetMs: number;
  /** Deadline of a caller's request, in ms. */
  readonly deadlineMs: number;
  readonly calls: ChainCalls | null;
  /** Whether each back end owns a part of the keys, so that no other back end can run their requests. */
  readonly keyed: boolean;
}

/** Work and times of a call between services. */
export interface CallSpec {
  readonly workMs: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
}

/** A period of higher traffic. */
export interface Burst {
  readonly fromMs: number;
  readonly toMs: number;
  /** Factor of the normal traffic. */
  readonly factor: number;
}

/** Specification of a chain. */
export interface ChainSpec {
  readonly services: readonly ChainService[];
  readonly call: CallSpec;
  readonly burst: Burst | null;
  /** Length of the traffic, in ms. */
  readonly lengthMs: number;
  /** One-way network latency between two daemons, in ms. */
  readonly networkMs: number;
  /** Processing time of one message at a daemon, in ms. */
  readonly messageMs: number;
  /** Maximum number of retries of a caller. */
  readonly retries: number;
}

/** Work in ms and calls of a run at a back end. */
export interface WorkSpec {
  readonly workMs: number;
  readonly calls: ChainCalls | null;
}

/** Times of callers' requests and of calls, as in most services of a chain. */
const CALLER_TIMES = { targetMs: 600, deadlineMs: 4_000 } as const;
const DEFAULT_CALL: CallSpec = { workMs: 43, targetMs: 175, deadlineMs: 525 };

/**
 * Four services in a row, the first one keyed. While calls are answered without delay, about 0.91, 0.97, 0.96 and 0.69 of
 * their slots are in use (calculated from work, rates and the mean of 1 / speed), so any waiting of calls makes the
 * calling service run out of slots.
 */
export const NARROW_CHAIN: ChainSpec = {
  services: [
    {
      ...CALLER_TIMES,
      name: 'first',
      backends: 13,
      slots: 10,
      workMs: 173,
      perSecond: 480,
      calls: { service: 'second', callsPerRun: 2, share: 0.7 },
      keyed: true,
    },
    {
      ...CALLER_TIMES,
      name: 'second',
      backends: 9,
      slots: 10,
      workMs: 224,
      perSecond: 190,
      calls: { service: 'third', callsPerRun: 2, share: 0.7 },
      keyed: false,
    },
    {
      ...CALLER_TIMES,
      name: 'third',
      backends: 3,
      slots: 10,
      workMs: 140,
      perSecond: 80,
      calls: { service: 'fourth', callsPerRun: 2, share: 0.7 },
      keyed: false,
    },
    {
      ...CALLER_TIMES,
      name: 'fourth',
      backends: 2,
      slots: 10,
      workMs: 140,
      perSecond: 60,
      calls: null,
      keyed: false,
    },
  ],
  call: DEFAULT_CALL,
  burst: { fromMs: 4_000, toMs: 6_000, factor: 1.4 },
  lengthMs: 16_000,
  networkMs: 0.5,
  messageMs: 0.1,
  retries: 2,
};
