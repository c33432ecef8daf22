import { EventEmitter } from 'node:events'
import { describe, expect, it } from 'vitest'
import { SignalKeeper } from '../src/signalKeeper'

function create() {
  const process = new EventEmitter()
  const kept: string[] = []
  const heard: string[] = []
  const keeper = new SignalKeeper(process, (signal) => void kept.push(signal))
  return { process, kept, heard, keeper, listen: (signal: string) => void heard.push(signal) }
}

describe('SignalKeeper', () => {
  it('listens for every signal from the start', () => {
    const { process } = create()
    expect(process.eventNames()).toEqual(['SIGHUP', 'SIGTERM', 'SIGINT'])
  })

  it('keeps a signal for its listener, once', () => {
    const { process, kept, heard, keeper, listen } = create()
    process.emit('SIGHUP')
    process.emit('SIGHUP')
    expect(kept).toEqual(['SIGHUP', 'SIGHUP'])
    keeper.on('SIGTERM', listen)
    expect(heard).toEqual([])
    keeper.on('SIGHUP', listen)
    expect(heard).toEqual(['SIGHUP'])
    process.emit('SIGHUP')
    expect(heard).toEqual(['SIGHUP', 'SIGHUP'])
    expect(kept).toHaveLength(2)
  })

  it('calls the last listener only', () => {
    const { process, heard, keeper, listen } = create()
    keeper.on('SIGTERM', () => heard.push('early'))
    keeper.on('SIGTERM', listen)
    process.emit('SIGTERM')
    expect(heard).toEqual(['SIGTERM'])
  })

  it('forgets a signal that is taken', () => {
    const { process, heard, keeper, listen } = create()
    process.emit('SIGHUP')
    expect(keeper.consume('SIGHUP')).toBe(true)
    expect(keeper.consume('SIGHUP')).toBe(false)
    keeper.on('SIGHUP', listen)
    expect(heard).toEqual([])
  })
})
