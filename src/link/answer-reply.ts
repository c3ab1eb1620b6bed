/**
 * Sends the outcome of one request over the link on which it arrived. Complete answers up to a limit are sent in one frame;
 * longer ones, and those of which more follows, as a stream.
 */
import { AnswerStream, type HeldBytes, type OpenHeldBytes } from './answer-stream.js';
import type { LinkConnection } from './link-connection.js';
import { FRAME_KIND } from './link-frame.js';
import { withoutRequestId } from './head-parts.js';
import type { AnswerHead, FailureHead, RequestHead } from './link-messages.js';
import type { AcceptedRequest, RequestReply } from './link-server.js';
import { MAX_WHOLE_ANSWER_BYTES, StreamWindow } from './stream-window.js';

/** Bytes of an answer before its start that are not counted, so that small answers cost nothing. */
const UNCOUNTED_BYTES = 64 * 1024;

/** Outcome of an answer that was cut; not the reason `broken`, which would count as a failure of the back end. */
const CUT: FailureHead = {
  reason: 'deadline',
  detail: 'cut: the daemon holds too many bytes of answers',
  status: null,
};

/** An answer of which not everything was sent. */
export interface UnsentAnswer {
  readonly stream: AnswerStream;
  /** Sends a failure in place of the rest. */
  readonly fail: (head: FailureHead) => void;
}

/** An accepted connection and what is in flight on it. */
export interface AcceptedPeer {
  readonly connection: LinkConnection;
  /** First window of each stream in bytes; null if the peer returns no credit. */
  firstWindowBytes: number | null;
  readonly requests: Map<number, AcceptedRequest>;
  readonly unsent: Map<number, UnsentAnswer>;
  readonly openHeldBytes: OpenHeldBytes;
}

/** Creates the reply to the request of a stream; `finished` tells whether its outcome is decided. */
export function makeReply(
  peer: AcceptedPeer,
  id: number,
  { priority, requestId }: Pick<RequestHead, 'priority' | 'requestId'>,
): { readonly port: RequestReply; readonly finished: () => boolean } {
  const { connection, requests, unsent } = peer;
  let finished = false;
  let stream: AnswerStream | null = null;
  let held: HeldBytes | null = null;
  /** Bytes received before the start of the answer. */
  let collectedBytes = 0;

  const finish = (): void => {
    finished = true;
    requests.delete(id);
  };
  const discard = (): void => {
    stream?.discard();
    held?.close();
  };
  const fail = (head: FailureHead): void => {
    finish();
    discard();
    connection.send(FRAME_KIND.failure, id, head);
  };
  const cut = (): void => {
    requests.get(id)?.cancel();
    connection.dropStream(id);
    fail(CUT);
  };
  const openHeld = (): HeldBytes =>
    (held ??= peer.openHeldBytes(priority, { cut, readOn: (bytes) => stream?.readOn(bytes) }));
  const openStream = (): AnswerStream => {
    const opened = new AnswerStream(new StreamWindow(peer.firstWindowBytes ?? Infinity), openHeld(), {
      send: (kind, head, body) => {
        connection.send(kind, id, head, body);
      },
      hasRoom: () => connection.hasRoom(id),
      onRoom: (callback) => {
        connection.onDrain(callback);
      },
      onFinished: () => {
        unsent.delete(id);
      },
    });
    unsent.set(id, { stream: opened, fail });
    stream = opened;
    return opened;
  };
  const startStream = (head: AnswerHead, body: Buffer): AnswerStream => {
    if (collectedBytes > UNCOUNTED_BYTES) openHeld().remove(collectedBytes);
    const opened = openStream();
    opened.start(head, body);
    return opened;
  };

  const port: RequestReply = {
    refuse(head) {
      finish();
      held?.close();
      connection.send(FRAME_KIND.refusal, id, head);
    },
    fail,
    answer(wholeHead, body) {
      const head = connection.sendsShortHeads ? withoutRequestId(wholeHead, requestId) : wholeHead;
      if (head.moreFollows) {
        startStream(head, body);
        return;
      }
      finish();
      if (mustBeSplit(head, body, peer.firstWindowBytes)) {
        startStream({ ...head, moreFollows: true, held: true }, body).end();
        return;
      }
      held?.close();
      connection.send(FRAME_KIND.answer, id, head, body);
    },
    body(chunk) {
      return stream?.write(chunk) ?? true;
    },
    end() {
      finish();
      stream?.end();
    },
    onDrain(callback) {
      stream?.onResume(callback);
    },
    hold(bytes) {
      const uncounted = collectedBytes <= UNCOUNTED_BYTES;
      collectedBytes += bytes;
      if (collectedBytes > UNCOUNTED_BYTES) openHeld().add(uncounted ? collectedBytes : bytes);
    },
    crowded: () => held?.crowded ?? false,
  };
  return { port, finished: () => finished };
}

/**
 * Whether a complete answer is too long for one frame. An answer whose end is marked only by the end of the connection is not
 * split, because its caller could not tell that it was truncated.
 */
function mustBeSplit(head: AnswerHead, body: Buffer, windowBytes: number | null): boolean {
  return windowBytes !== null && head.framed && body.length > Math.max(windowBytes, MAX_WHOLE_ANSWER_BYTES);
}
