/** Faults of a simulation as plain data, so that a schedule can be printed, shrunk and replayed. */

/** Target of a fault: the number of a control replica, or the leader at the start of the fault. */
export type ControlTarget = number | 'leader';

/** One fault; `atMs` and `lastsMs` are in ms of virtual time. */
export type SimFault = {
  readonly atMs: number;
  readonly lastsMs: number;
} & (
  | { readonly kind: 'crash-control'; readonly target: ControlTarget; readonly loseDisk: boolean }
  | { readonly kind: 'freeze-control'; readonly target: ControlTarget }
  | {
      readonly kind: 'cut-control';
      readonly target: ControlTarget;
      readonly directions: 'both' | 'outgoing' | 'incoming';
    }
  /** Crashes a back end and its agent. */
  | { readonly kind: 'crash-machine'; readonly target: number }
  | { readonly kind: 'freeze-machine'; readonly target: number }
  | { readonly kind: 'freeze-backend'; readonly target: number }
  | { readonly kind: 'freeze-agent'; readonly target: number }
  | { readonly kind: 'crash-agent'; readonly target: number }
  | { readonly kind: 'crash-backend'; readonly target: number }
  | { readonly kind: 'cut-machine'; readonly target: number; readonly from: 'control' | 'everyone' }
  | { readonly kind: 'crash-router'; readonly target: number }
  | { readonly kind: 'freeze-router'; readonly target: number }
  | { readonly kind: 'cut-router'; readonly target: number }
  /** Drains a back end, stops it gracefully when it owns no shards, restarts it and ends the drain. */
  | { readonly kind: 'drain'; readonly target: number }
  /** Two operators submit with the same base revision, and each may resend as if its answer was lost. */
  | { readonly kind: 'operators-race' }
  /** Many configuration changes in sequence. */
  | { readonly kind: 'many-changes'; readonly count: number }
);
