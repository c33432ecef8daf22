import { request as httpRequest } from 'node:http'
import { EVENTS } from './versionedEngine'

/** One attempt of a caller at an entry. */
export interface StreamAttempt {
  id: string
  /** Base URL of the entry. */
  url: string
  /** The events after which the caller disconnects; the whole stream by default. */
  events?: number
  /** The id of the attempt that brought the first event, and the id of the last event. */
  resumes?: { id: string; lastEventId: number }
  headers?: Record<string, string>
  path?: string
}

/** What a caller received in one attempt. */
export interface StreamAnswer {
  status: number
  headers: Record<string, string | string[] | undefined>
  text: string
  /** The software versions of its events, by their ids. */
  versions: Map<number, string>
  isWhole: boolean
}

/** Requests a stream and reads it to its end, or until the caller has as many events as it wants. */
export function readStream({
  id,
  url,
  events,
  resumes,
  headers,
  path = '/p/',
}: StreamAttempt): Promise<StreamAnswer> {
  return new Promise((resolve) => {
    const answer: StreamAnswer = { status: 0, headers: {}, text: '', versions: new Map(), isWhole: false }
    const request = httpRequest(`${url}${path}`, {
      agent: false,
      headers: {
        host: 'h.example',
        'x-id': id,
        'x-deadline': '8000',
        'x-tokens': '10,40',
        ...(resumes && { 'x-resumes': resumes.id, 'last-event-id': String(resumes.lastEventId) }),
        ...headers,
      },
    })
    request.on('error', () => resolve(answer))
    request.on('close', () => resolve(answer))
    request.on('response', (response) => {
      answer.status = response.statusCode!
      answer.headers = response.headers
      response.on('error', () => resolve(answer))
      response.on('data', (bytes: Buffer) => {
        answer.text += bytes.toString()
        for (const [, number, version] of answer.text.matchAll(/id: (\d+)\ndata: (\S+) \d+\n\n/g))
          answer.versions.set(Number(number), version!)
        if (events !== undefined && answer.versions.size >= events) request.destroy()
      })
      response.on('end', () => (answer.isWhole = answer.versions.has(EVENTS)))
    })
    request.end()
  })
}

/** Returns the id of the last event of an answer. */
export function lastEventOf({ versions }: StreamAnswer): number {
  return Math.max(...versions.keys())
}
