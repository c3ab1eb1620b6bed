/** What a simulated chain of services looks like: services that call each other, and the callers in front of them. */

/** Calls that a run makes before it ends. */
export interface ChainCalls {
  /** Service that is called. */
  readonly service: string;
  /** Calls of one run, one after the other. */
  readonly times: number;
  /** Part of the runs that make them. */
  readonly share: number;
}

/** One service of the chain. */
export interface ChainService {
  readonly name: string;
  readonly backends: number;
  /** Requests that one back end runs at once. */
  readonly slots: number;
  /** Mean work of a caller's request, in ms. */
  readonly workMs: number;
  /** Requests of callers in a second. */
  readonly perSecond: number;
  /** Time in which an answer is worth its full value, in ms. */
  readonly targetMs: number;
  /** Time that callers wait, in ms. */
  readonly deadlineMs: number;
  readonly calls: ChainCalls | null;
  /** Whether each back end owns its part of the keys; then nobody else can run a request. */
  readonly keyed: boolean;
}

/** What a call between services needs. */
export interface CallSpec {
  readonly workMs: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
}

/** A span of time with more traffic. */
export interface Burst {
  readonly fromMs: number;
  readonly toMs: number;
  /** Times the usual traffic. */
  readonly factor: number;
}

/** A whole chain. */
export interface ChainSpec {
  readonly services: readonly ChainService[];
  readonly call: CallSpec;
  readonly burst: Burst | null;
  /** Length of the traffic, in ms. */
  readonly lengthMs: number;
  /** One way between two daemons, in ms. */
  readonly networkMs: number;
  /** Time for which a daemon is busy with one message, in ms. */
  readonly messageMs: number;
  /** Tries of a caller after its first one. */
  readonly returns: number;
}

/** What a run at a back end needs, in ms. */
export interface WorkSpec {
  readonly workMs: number;
  readonly calls: ChainCalls | null;
}

/** Answers of callers' requests and of calls, as most services of a chain have them. */
const CALLERS = { targetMs: 600, deadlineMs: 4_000 } as const;
const CALL: CallSpec = { workMs: 43, targetMs: 175, deadlineMs: 525 };

/**
 * Four services in a row, the first one keyed. While calls are answered without delay, about 0.91, 0.97, 0.96 and 0.69 of
 * their places are in use (worked out from work, rates and the mean of 1 / speed): every moment that a call waits makes
 * the service before it short of places.
 */
export const NARROW_CHAIN: ChainSpec = {
  services: [
    {
      ...CALLERS,
      name: 'first',
      backends: 13,
      slots: 10,
      workMs: 173,
      perSecond: 480,
      calls: { service: 'second', times: 2, share: 0.7 },
      keyed: true,
    },
    {
      ...CALLERS,
      name: 'second',
      backends: 9,
      slots: 10,
      workMs: 224,
      perSecond: 190,
      calls: { service: 'third', times: 2, share: 0.7 },
      keyed: false,
    },
    {
      ...CALLERS,
      name: 'third',
      backends: 3,
      slots: 10,
      workMs: 140,
      perSecond: 80,
      calls: { service: 'fourth', times: 2, share: 0.7 },
      keyed: false,
    },
    {
      ...CALLERS,
      name: 'fourth',
      backends: 2,
      slots: 10,
      workMs: 140,
      perSecond: 60,
      calls: null,
      keyed: false,
    },
  ],
  call: CALL,
  burst: { fromMs: 4_000, toMs: 6_000, factor: 1.4 },
  lengthMs: 16_000,
  networkMs: 0.5,
  messageMs: 0.1,
  returns: 2,
};
