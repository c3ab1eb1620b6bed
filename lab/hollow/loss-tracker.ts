/** Notices on a router's table when every shard of a session that ended is owned by another session. */
import type { WatchedTable } from '../../src/control-client/watched-table.js';

interface OpenLoss {
  readonly service: string;
  readonly backend: string;
  readonly session: number;
}

/** Follows the losses of one table. */
export class LossTracker {
  private sessions = new Map<number, OpenLoss>();
  private losses: OpenLoss[] = [];

  constructor(
    private readonly table: WatchedTable,
    private readonly onRepaired: (backend: string, session: number) => void,
  ) {}

  /** The table has changed. */
  update(): void {
    const present = new Map<number, OpenLoss>();
    for (const { id, backend, service } of this.table.sessions.values()) {
      present.set(id, { service, backend, session: id });
    }
    for (const [id, known] of this.sessions) if (!present.has(id)) this.losses.push(known);
    this.sessions = present;
    if (this.losses.length === 0) return;
    this.losses = this.losses.filter((loss) => !this.reportIfRepaired(loss));
  }

  private reportIfRepaired({ service, backend, session }: OpenLoss): boolean {
    for (const row of this.table.rowsOf(service)) {
      if (row.owner === null || row.session === session) return false;
    }
    this.onRepaired(backend, session);
    return true;
  }
}
